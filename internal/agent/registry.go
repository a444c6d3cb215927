package agent

// The registry of the machines of a leader, by name and by dense index.

import (
	"time"

	"tulipshelf/internal/job"
)

// Registry holds all machines of a leader. Only the leader's event loop uses it.
type Registry struct {
	byName  map[string]*Machine
	byIndex []*Machine // a machine that is gone stays until its index is reused
	minFree int        // lower bound of the free indices

	returned  map[string]time.Time // times of return, by name of machine
	lastPrune time.Time            // when expired entries of returned were last removed
}

const (
	// returnedRetention is the retention period of the names of returned machines. A list of the cloud
	// or a heartbeat that names the machine after this period would add it again. The period is
	// therefore far longer than the delay of either.
	returnedRetention = 30 * time.Minute

	// pruneInterval is the shortest time between two scans of all returned names. Without it each
	// call of Remove would scan them.
	pruneInterval = time.Minute
)

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{byName: map[string]*Machine{}, returned: map[string]time.Time{}}
}

// Machine returns the machine with the given name, or nil if there is none or it is gone.
func (r *Registry) Machine(name string) *Machine { return r.byName[name] }

// At returns the machine with the given dense index, which must be below Size. It may be gone.
func (r *Registry) At(index int) *Machine { return r.byIndex[index] }

// Size returns one more than the largest dense index used so far, which is the length of a slice that is
// indexed by machine.
func (r *Registry) Size() int { return len(r.byIndex) }

// Each calls visit for each machine that is not gone, in order of index. Machines that are added during
// the call may be skipped.
func (r *Registry) Each(visit func(*Machine)) {
	for _, machine := range r.byIndex {
		if !machine.Gone {
			visit(machine)
		}
	}
}

// Add returns the machine with the given name and creates it if it does not exist. It returns nil if the
// machine has been returned. Guards against adding a returned machine again: lists of the cloud and
// heartbeats lag and may still name it. The cloud never reuses a name. The time now becomes Created and
// IdleSince of a new machine; it may be the machine's earlier creation time from the cloud's list.
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
		FailedJobs:  map[string]int{},
	}
	r.byName[name] = machine
	if machine.Index == len(r.byIndex) {
		r.byIndex = append(r.byIndex, machine)
	} else {
		r.byIndex[machine.Index] = machine
	}
	return machine
}

// takeIndex returns the lowest free index, which is len(byIndex) if no machine in it is gone, and marks
// it as used.
func (r *Registry) takeIndex() int {
	index := r.minFree
	for index < len(r.byIndex) && !r.byIndex[index].Gone {
		index++
	}
	r.minFree = index + 1
	return index
}

// WasReturned reports whether the machine with the given name was returned to the cloud. It may
// report false once returnedRetention has passed since the return.
func (r *Registry) WasReturned(name string) bool {
	_, returned := r.returned[name]
	return returned
}

// Remove records that a machine and all attempts on it are gone. Only the cloud's success response to a
// return proves that. Remove returns an outcome for each attempt assigned to the machine, in the order
// of SortedAssignments, and nil if the machine is not in the registry.
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

// pruneReturned removes the names of machines that were returned more than returnedRetention ago. It
// scans the names at most once per pruneInterval.
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
