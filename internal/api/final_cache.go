package api

import "sync"

// maxFinalStates is the capacity of a finalStateCache, in jobs. It limits the memory that the cache
// uses; an evicted state can be read again from the key-value store.
const maxFinalStates = 20_000

// finalStateCache caches the final statuses of jobs, so that requests about these jobs need no read. A
// final status never changes, so entries do not expire; when the cache is full, an arbitrary entry is
// evicted. It holds only statuses that may be reported to users. It is safe for concurrent use.
type finalStateCache struct {
	mu        sync.Mutex           // guards the fields below
	statuses  map[string]JobStatus // by job ID
	doneTasks map[string]int       // number of tasks of jobs that are done, by job ID
}

func newFinalStateCache() *finalStateCache {
	return &finalStateCache{statuses: map[string]JobStatus{}, doneTasks: map[string]int{}}
}

// get returns the final status of a job, and whether it is cached.
func (c *finalStateCache) get(id string) (JobStatus, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	status, found := c.statuses[id]
	return status, found
}

// state returns the final state of a job as reported to its user, and whether it is cached. It is the
// state that the read of the job's end has returned.
func (c *finalStateCache) state(id string) (jobState, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	status, found := c.statuses[id]
	return jobState{ID: id, Status: status, Done: c.doneTasks[id]}, found
}

// put caches the final status of a job, which must be durable in the key-value store.
func (c *finalStateCache) put(id string, status JobStatus) {
	c.putState(jobState{ID: id, Status: status})
}

// putState caches the final state of a job, which must be durable in the key-value store.
func (c *finalStateCache) putState(state jobState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.statuses) >= maxFinalStates {
		c.evictOne()
	}
	c.statuses[state.ID] = state.Status
	if state.Done > 0 {
		c.doneTasks[state.ID] = state.Done
	}
}

// evictOne removes an arbitrary entry. The caller holds mu.
func (c *finalStateCache) evictOne() {
	for id := range c.statuses {
		delete(c.statuses, id)
		delete(c.doneTasks, id)
		return
	}
}
