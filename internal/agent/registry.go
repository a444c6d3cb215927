package agent

// The registry: all machines that this leader knows, by name and by dense index.

import (
	"time"

	"tulipshelf/internal/job"
)

// Registry is all machines that this leader knows. The leader's event loop alone uses it.
type Registry struct {
	byName  map[string]*Machine
	byIndex []*Machine // a machine that is gone stays until its index is given to another
	minFree int        // no index below it is free

	returned  map[string]time.Time // names of machines that are gone, and when they were returned
	lastPrune time.Time            // when old entries of returned were last dropped
}

const (
	// returnedRetention is far longer than a list of the cloud or a heartbeat of a machine that is
	// gone may be late: after it the machine's name need not be remembered.
	returnedRetention = 30 * time.Minute

	// pruneInterval keeps Remove from walking all returned names each time.
	pruneInterval = time.Minute
)

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{byName: map[string]*Machine{}, returned: map[string]time.Time{}}
}

// Machine returns the machine of that name, or nil if there is none or it is gone.
func (r *Registry) Machine(name string) *Machine { return r.byName[name] }

// At returns the machine with a dense index below Size. It may be gone.
func (r *Registry) At(index int) *Machine { return r.byIndex[index] }

// Size returns one more than the largest dense index in use so far: the length of a slice with an
// element for each machine.
func (r *Registry) Size() int { return len(r.byIndex) }

// Each calls visit for each machine that is not gone, in order of index. Machines that visit adds may
// be left out.
func (r *Registry) Each(visit func(*Machine)) {
	for _, machine := range r.byIndex {
		if !machine.Gone {
			visit(machine)
		}
	}
}

// Add returns the machine of that name and creates it if it is new. It returns nil for a machine
// that has been returned: names are never given twice, but lists of the cloud and heartbeats lag,
// and would bring it back.
func (r *Registry) Add(name string, now time.Time) *Machine {
	if machine := r.byName[name]; machine != nil {
		return machine
	}
	if r.WasReturned(name) {
		return nil
	}
	machine := &Machine{
		Index:       r.takeIndex(),
		Name:        name,
		Created:     now,
		IdleSince:   now,
		Reported:    map[job.AttemptID]TaskState{},
		Assignments: map[job.AttemptID]*Assignment{},
		FailedJobs:  map[string]struct{}{},
	}
	r.byName[name] = machine
	if machine.Index == len(r.byIndex) {
		r.byIndex = append(r.byIndex, machine)
	} else {
		r.byIndex[machine.Index] = machine
	}
	return machine
}

// takeIndex returns the lowest free index, which may be the one behind the last.
func (r *Registry) takeIndex() int {
	index := r.minFree
	for index < len(r.byIndex) && !r.byIndex[index].Gone {
		index++
	}
	r.minFree = index + 1
	return index
}

// WasReturned reports whether the machine of that name has been returned to the cloud.
func (r *Registry) WasReturned(name string) bool {
	_, returned := r.returned[name]
	return returned
}

// Remove records that a machine and all attempts on it are gone, which only the cloud's success
// response to a return proves. It returns an outcome for each attempt assigned there, in the order
// of SortedAssignments, and none if the machine is not known.
func (r *Registry) Remove(name string, now time.Time) []Outcome {
	r.returned[name] = now
	r.pruneReturned(now)
	machine := r.byName[name]
	if machine == nil {
		return nil
	}
	delete(r.byName, name)
	r.minFree = min(r.minFree, machine.Index)
	return machine.remove()
}

// pruneReturned drops the names of machines that have been gone for long.
func (r *Registry) pruneReturned(now time.Time) {
	if now.Sub(r.lastPrune) < pruneInterval {
		return
	}
	r.lastPrune = now
	for name, returnedAt := range r.returned {
		if now.Sub(returnedAt) > returnedRetention {
			delete(r.returned, name)
		}
	}
}
