package fake

// Faults and limits of the fake key-value store.

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"golang.org/x/time/rate"

	"tulipshelf/internal/kvstore"
	"tulipshelf/internal/wire"
)

// StoreFaults are the present faults of a store. Transactions are counted as they come, by all clients.
type StoreFaults struct {
	// Down refuses all requests with status 503, but for watches that are open, which stay so. It
	// stands for a store without a quorum. Leases do not expire meanwhile, and have their full time
	// afterwards.
	Down bool
	// DownAfterPrefix begins an outage after the next transaction, still answered, that changes a key
	// with this prefix; "": none.
	DownAfterPrefix string
	// Delay lets every request take so much longer. It stands for a slow disk or an overloaded store.
	Delay time.Duration
	// WatchDelay lets watches tell of changes so much later than the responses to the transactions that
	// made them. Without it both are sent at one instant of simulated time, and which of them is read
	// first is up to the scheduler of the Go runtime.
	WatchDelay time.Duration
	// LoseNextResponses applies so many of the next transactions without a response. It stands for
	// connections that break between commit and response.
	LoseNextResponses int
	// LoseOneResponseIn does so with one in so many transactions, at random; 0: none.
	LoseOneResponseIn int
	// HoldNext holds back so many of the next transactions, without a response, until ReleaseHeld; of
	// those only that change a key with the prefix HoldPrefix. It stands for requests that are stuck
	// in a queue.
	HoldNext   int
	HoldPrefix string
	// DelayOneWriteIn applies one in so many transactions 2 to 12 s late, after newer ones of the same
	// client, without a response; 0: none. It stands for a proxy that goes on after its client has
	// given up.
	DelayOneWriteIn int
}

// SetFaults replaces all faults.
func (s *Store) SetFaults(faults StoreFaults) {
	s.UpdateFaults(func(f *StoreFaults) { *f = faults })
}

// UpdateFaults changes some of the faults. Those that count transactions hold what is left.
func (s *Store) UpdateFaults(change func(*StoreFaults)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	wasDown := s.faults.Down
	change(&s.faults)
	if s.faults.Down != wasDown {
		s.suspendLeases(s.faults.Down)
	}
}

// suspendLeases stops the timers of leases as an outage begins, and restarts them with their full time
// as it ends. The caller holds mu.
func (s *Store) suspendLeases(suspend bool) {
	for _, l := range s.leases {
		if suspend {
			l.timer.Stop()
		} else {
			l.timer.Reset(l.ttl)
		}
	}
}

// ReleaseHeld applies the transactions that HoldNext has held back, late.
func (s *Store) ReleaseHeld() {
	s.mu.Lock()
	held := s.held
	s.held = nil
	s.mu.Unlock()
	for _, apply := range held {
		apply()
	}
}

// Unacknowledged returns how many transactions have had no response so far.
func (s *Store) Unacknowledged() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts.unacknowledged
}

// transactWithFaults carries out a transaction under the present faults and limits. The caller holds
// mu.
func (s *Store) transactWithFaults(body []byte) wire.Response {
	if resp := s.checkLimits(body); resp.Status != 0 {
		return resp
	}
	applyLate := func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.transact(body)
	}
	faults := &s.faults
	s.counts.transactions++
	switch {
	case faults.DelayOneWriteIn > 0 && s.counts.transactions%faults.DelayOneWriteIn == 0:
		s.counts.unacknowledged++
		time.AfterFunc(time.Duration(2+s.counts.transactions%11)*time.Second, applyLate)
		return wire.Response{Status: statusNoResponse}
	case faults.HoldNext > 0 && changesPrefix(body, faults.HoldPrefix):
		s.counts.unacknowledged++
		faults.HoldNext--
		s.held = append(s.held, applyLate)
		return wire.Response{Status: statusDropConnection}
	case faults.LoseNextResponses > 0, faults.LoseOneResponseIn > 0 && s.random.IntN(faults.LoseOneResponseIn) == 0:
		s.counts.unacknowledged++
		faults.LoseNextResponses = max(0, faults.LoseNextResponses-1)
		s.transact(body)
		return wire.Response{Status: statusDropConnection}
	}
	return s.transact(body)
}

// changesPrefix reports whether a transaction changes a key with a prefix.
func changesPrefix(body []byte, prefix string) bool {
	var transaction struct {
		Mutations []kvstore.Mutation `cbor:"then"`
	}
	return wire.Unmarshal(body, &transaction) == nil && slices.ContainsFunc(transaction.Mutations, func(m kvstore.Mutation) bool {
		return strings.HasPrefix(m.Put+m.Delete, prefix)
	})
}

// StoreLimits are the limits that a store enforces.
type StoreLimits struct {
	ValueBytes int     // of a value in JSON
	TxnOps     int     // mutations in a transaction
	WriteRPS   float64 // mutations a second, and as a burst
}

// SetLimits enforces limits from now on. Without it the store has none.
func (s *Store) SetLimits(limits StoreLimits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limits = &limits
	s.writes = rate.NewLimiter(rate.Limit(limits.WriteRPS), int(limits.WriteRPS))
}

// StoreRefusals is how many transactions a store has refused for its limits.
type StoreRefusals struct{ TooLarge, TooMany int }

// Refusals returns how many transactions were refused so far.
func (s *Store) Refusals() StoreRefusals {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.refusals
}

// checkLimits returns the response to a transaction that exceeds the limits, or status 0. The caller
// holds mu.
func (s *Store) checkLimits(body []byte) wire.Response {
	var transaction struct {
		Mutations []struct {
			Value any `cbor:"value"`
		} `cbor:"then"`
	}
	if s.limits == nil || wire.Unmarshal(body, &transaction) != nil {
		return wire.Response{}
	}
	tooLarge := len(transaction.Mutations) > s.limits.TxnOps
	for _, mutation := range transaction.Mutations {
		text, err := json.Marshal(jsonValue(mutation.Value))
		tooLarge = tooLarge || err != nil || len(text) > s.limits.ValueBytes
	}
	switch {
	case tooLarge:
		s.refusals.TooLarge++
		return wire.Response{Status: wire.StatusBadRequest, Body: wire.Marshal(map[string]string{"error": "too large"})}
	case !s.writes.AllowN(time.Now(), len(transaction.Mutations)):
		s.refusals.TooMany++
		return wire.Response{Status: wire.StatusTooManyRequests}
	}
	return wire.Response{}
}

// jsonValue returns a decoded CBOR value in the form that JSON has.
func jsonValue(value any) any {
	switch value := value.(type) {
	case map[any]any:
		object := map[string]any{}
		for name, inner := range value {
			object[fmt.Sprint(name)] = jsonValue(inner)
		}
		return object
	case []any:
		for i := range value {
			value[i] = jsonValue(value[i])
		}
	}
	return value
}
