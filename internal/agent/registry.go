// Package agent keeps what is known of the workers: their sessions, what their
// reports prove about attempts, and the commands that they are to get.
package agent

import (
	"time"

	"tulipshelf/internal/job"
)

// Registry is all machines that this leader knows.
type Registry struct {
	byName map[string]*Machine
	all    []*Machine
	free   int // no dense index below it is free
	gone   map[string]time.Time
	pruned time.Time // when names that are long gone were last dropped
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{byName: map[string]*Machine{}, gone: map[string]time.Time{}}
}

// Machine returns the machine of that name, or nil.
func (f *Registry) Machine(name string) *Machine { return f.byName[name] }

// At returns the machine with a dense index.
func (f *Registry) At(i int) *Machine { return f.all[i] }

// Size returns one more than the largest dense index.
func (f *Registry) Size() int { return len(f.all) }

// Each calls fn for each machine that is not gone, in order of index.
func (f *Registry) Each(fn func(*Machine)) {
	for _, m := range f.all {
		if !m.Gone {
			fn(m)
		}
	}
}

// Add returns the machine of that name and makes it if it is new. A name that
// was returned stays gone: names are never given twice, and lists lag.
func (f *Registry) Add(name string, now time.Time) *Machine {
	if m := f.byName[name]; m != nil {
		return m
	}
	if f.WasReturned(name) {
		return nil
	}
	i := f.free
	for i < len(f.all) && !f.all[i].Gone {
		i++
	}
	f.free = i + 1
	m := &Machine{Index: i, Name: name, Created: now, IdleSince: now,
		Reported: map[job.AttemptID]TaskState{}, Assignments: map[job.AttemptID]*Assignment{}, FailedJobs: map[string]struct{}{}}
	f.byName[name] = m
	if i == len(f.all) {
		f.all = append(f.all, m)
	} else {
		f.all[i] = m
	}
	return m
}

// WasReturned tells whether the machine of that name has been returned.
func (f *Registry) WasReturned(name string) bool {
	_, ok := f.gone[name]
	return ok
}

// forgetGone is far beyond the time for which a list or a report of a machine
// that is gone may still arrive.
const (
	forgetGone = 30 * time.Minute
	pruneEvery = time.Minute
)

// Remove takes the cloud's word (200 to a return) that a machine and all on it
// are gone.
func (f *Registry) Remove(name string, now time.Time) []Outcome {
	f.gone[name] = now
	if now.Sub(f.pruned) >= pruneEvery {
		f.pruned = now
		for n, t := range f.gone {
			if now.Sub(t) > forgetGone {
				delete(f.gone, n)
			}
		}
	}
	m := f.byName[name]
	if m == nil {
		return nil
	}
	delete(f.byName, name)
	m.Gone = true
	f.free = min(f.free, m.Index)
	var out []Outcome
	for _, h := range m.SortedAssignments() {
		out = append(out, Outcome{h, CauseLost})
	}
	m.Assignments = nil
	m.Reported = nil
	m.Version++
	return out
}
