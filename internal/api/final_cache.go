package api

// This file has the cache of final states.

import "sync"

// maxFinalStates bounds the memory of a finalStateCache. Any entry that was evicted can be read again
// from the key-value store.
const maxFinalStates = 20_000

// finalStateCache holds final states of jobs, so that requests about finished jobs cost no read.
// A final state never changes, so entries never expire; when the cache is full an arbitrary one is
// evicted. Only states that may be told to users are put into it. It is safe for concurrent use.
type finalStateCache struct {
	mu       sync.Mutex           // guards statuses
	statuses map[string]JobStatus // by job ID
}

func newFinalStateCache() *finalStateCache {
	return &finalStateCache{statuses: map[string]JobStatus{}}
}

// get returns the final state of a job, if it is cached.
func (c *finalStateCache) get(id string) (JobStatus, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	status, found := c.statuses[id]
	return status, found
}

// put caches the final state of a job. It must be durable.
func (c *finalStateCache) put(id string, status JobStatus) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.statuses) >= maxFinalStates {
		c.evictOne()
	}
	c.statuses[id] = status
}

// evictOne drops an arbitrary entry. The caller holds mu.
func (c *finalStateCache) evictOne() {
	for id := range c.statuses {
		delete(c.statuses, id)
		return
	}
}
