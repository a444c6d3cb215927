package fake

// Watches of the key-value store: the retained changes, and the requests that wait for them.

import (
	"context"
	"strconv"
	"strings"
	"time"

	"tulipshelf/internal/kvstore"
	"tulipshelf/internal/wire"
)

// addEvent adds a change to events and wakes the open watches. The caller holds mu.
func (s *Store) addEvent(event kvstore.Event) {
	s.events = append(s.events, event)
	for len(s.events) > maxRetainedEvents {
		s.compactedRevision, s.events = s.events[0].Revision, s.events[1:]
	}
	s.wakeWatches()
}

// wakeWatches makes all open watches look for changes. The caller holds mu.
func (s *Store) wakeWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// watch responds with the changes of keys with a prefix after a revision. It waits for the first change
// for at most wait_ms milliseconds and then responds with none. In an outage an open watch gets no
// response. It responds with StatusGone if changes after the revision are no longer retained. The caller
// does not hold mu.
func (s *Store) watch(ctx context.Context, query map[string]string) wire.Response {
	after, _ := strconv.ParseUint(query["after"], 10, 64)
	waitMS, _ := strconv.Atoi(query["wait_ms"])
	// A context, not a timer: a change may arrive just as the time ends, and the loop would then wait on the
	// channel of an expired timer (see the package comment).
	waitCtx, cancel := context.WithTimeout(ctx, time.Duration(waitMS)*time.Millisecond)
	defer cancel()
	for isOpen := false; ; isOpen = true {
		state, resp := s.stateForWatch(after, query["starts"], isOpen)
		if resp.Status != 0 {
			return resp
		}
		if len(state.found) > 0 && !state.faults.Down {
			time.Sleep(state.faults.WatchDelay)
			return ok(map[string]any{"epoch": state.revision, "events": state.found})
		}
		if expired := state.await(ctx, waitCtx); ctx.Err() != nil {
			return wire.Response{Status: statusDropConnection}
		} else if expired && !s.isDown() {
			return ok(map[string]any{"epoch": state.revision})
		}
	}
}

// watchState is what a watch depends on, at one moment.
type watchState struct {
	found    []kvstore.Event // changes that the watch is for
	revision uint64          // revision of the store
	changed  <-chan struct{} // closed at the next change, or at the end of an outage
	faults   StoreFaults
}

// await waits for the next change, or for the end of the outage, and reports whether the watch's own time,
// the one of waitCtx, ended first. In an outage an open watch is not answered, even after its time: then
// only the end of ctx counts.
func (w *watchState) await(ctx, waitCtx context.Context) (expired bool) {
	if w.faults.Down {
		waitCtx = ctx
	}
	select {
	case <-w.changed:
		return false
	case <-waitCtx.Done():
		return true
	}
}

// stateForWatch returns the state for a watch of a prefix after a revision. The response has status 0
// unless the watch is refused: an outage refuses only new watches.
func (s *Store) stateForWatch(after uint64, prefix string, isOpen bool) (watchState, wire.Response) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.faults.Down && !isOpen:
		return watchState{}, wire.Response{Status: wire.StatusServiceUnavailable}
	case s.compactedRevision > after:
		return watchState{}, wire.Response{Status: wire.StatusGone}
	}
	return watchState{s.changesAfter(after, prefix), s.rev, s.changed, s.faults}, wire.Response{}
}

func (s *Store) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults.Down
}

// changesAfter returns the retained changes of keys with a prefix after a revision. The caller holds mu.
func (s *Store) changesAfter(revision uint64, prefix string) (found []kvstore.Event) {
	for _, event := range s.events {
		if event.Revision > revision && strings.HasPrefix(event.Put+event.Delete, prefix) {
			found = append(found, event)
		}
	}
	return found
}
