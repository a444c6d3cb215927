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

// StoreFaults is the set of active faults of a store. The zero value means no fault. Faults that affect a
// number of transactions count those of all clients, in the order of their arrival.
type StoreFaults struct {
	// Down refuses all requests with status 503, except that open watches stay open. It simulates a store
	// without a quorum. Leases do not expire during the outage and get their full time to live after it.
	Down bool
	// DownAfterPrefix sets Down after the next successful transaction that changes a key with this prefix.
	// That transaction still gets its response. "" disables the fault.
	DownAfterPrefix string
	// Delay is added to the processing time of each request. It simulates a slow disk or an overloaded
	// store.
	Delay time.Duration
	// WatchDelay delays the responses to watches relative to those to the transactions that made the
	// changes. Without it both are sent at the same instant of simulated time, and the scheduler of the Go
	// runtime determines which of them is read first.
	WatchDelay time.Duration
	// LoseNextResponses is the number of next transactions that are applied without a response. It
	// simulates connections that break between commit and response.
	LoseNextResponses int
	// LoseOneResponseIn applies a random one in this many transactions without a response; 0 disables the
	// fault.
	LoseOneResponseIn int
	// HoldNext is the number of next transactions that get no response and are not applied before
	// ReleaseHeld. Only transactions that change a key with the prefix HoldPrefix are held. It simulates
	// requests that are stuck in a queue.
	HoldNext   int
	HoldPrefix string
	// DelayOneWriteIn applies one in this many transactions 2 to 12 s late and without a response, so that
	// newer transactions of the same client may overtake it; 0 disables the fault. It simulates a proxy
	// that forwards a request after its client has timed out.
	DelayOneWriteIn int
}

// SetFaults replaces all active faults of the store.
func (s *Store) SetFaults(faults StoreFaults) {
	s.UpdateFaults(func(f *StoreFaults) { *f = faults })
}

// UpdateFaults changes some of the active faults of the store and leaves the others. LoseNextResponses and
// HoldNext count down, so change gets the number of transactions that remain.
func (s *Store) UpdateFaults(change func(*StoreFaults)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	wasDown := s.faults.Down
	change(&s.faults)
	if s.faults.Down != wasDown {
		s.suspendLeases(s.faults.Down)
	}
	if wasDown && !s.faults.Down {
		s.resume()
	}
}

// resume applies the transactions that came due in an outage, and wakes the watches that stayed open
// during it. The caller holds mu.
func (s *Store) resume() {
	due := s.dueInOutage
	s.dueInOutage = nil
	for _, body := range due {
		s.transact(body)
	}
	s.wakeWatches()
}

// transactLate applies a transaction that was delayed, in an outage only after its end. The caller does
// not hold mu.
func (s *Store) transactLate(body []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Down {
		s.dueInOutage = append(s.dueInOutage, body)
		return
	}
	s.transact(body)
}

// suspendLeases stops the timers of all leases when an outage begins, and restarts them with their full
// time to live when it ends. The caller holds mu.
func (s *Store) suspendLeases(suspend bool) {
	for _, l := range s.leases {
		if suspend {
			l.timer.Stop()
		} else {
			l.timer.Reset(l.ttl)
		}
	}
}

// ReleaseHeld applies the transactions that HoldNext has held back, in the order of their arrival.
func (s *Store) ReleaseHeld() {
	s.mu.Lock()
	held := s.held
	s.held = nil
	s.mu.Unlock()
	for _, apply := range held {
		apply()
	}
}

// Unacknowledged returns the number of transactions so far that a fault has left without a response.
func (s *Store) Unacknowledged() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts.unacknowledged
}

// transactWithFaults executes a transaction under the active faults and limits. The caller holds mu.
func (s *Store) transactWithFaults(body []byte) wire.Response {
	if resp := s.checkLimits(body); resp.Status != 0 {
		return resp
	}
	applyLate := func() { s.transactLate(body) }
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

// StoreLimits is the set of limits that a store enforces on transactions.
type StoreLimits struct {
	ValueBytes int     // maximum size of a value in its JSON form, in bytes
	TxnOps     int     // maximum number of mutations in a transaction
	WriteRPS   float64 // maximum number of mutations per second, also as a burst
}

// SetLimits makes the store enforce limits from now on. Without a call the store enforces only
// maxBodyBytes.
func (s *Store) SetLimits(limits StoreLimits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limits = &limits
	s.writes = rate.NewLimiter(rate.Limit(limits.WriteRPS), int(limits.WriteRPS))
}

// StoreRefusals counts the transactions that exceeded a limit: TooLarge those refused for maxBodyBytes,
// ValueBytes or TxnOps, and TooMany those for WriteRPS.
type StoreRefusals struct{ TooLarge, TooMany int }

// Refusals returns the numbers of transactions refused so far.
func (s *Store) Refusals() StoreRefusals {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.refusals
}

// maxBodyBytes is the protocol's limit on the size of a transaction, of any other request body and of a response
// to a worker agent, in bytes of JSON.
const maxBodyBytes = 64 << 10

// checkLimits returns the response to a transaction that exceeds the limits, and a response with status 0
// if it does not. The caller holds mu.
func (s *Store) checkLimits(body []byte) wire.Response {
	var transaction struct {
		Compares  []any `cbor:"when"`
		Mutations []struct {
			Value any `cbor:"value"`
		} `cbor:"then"`
	}
	if wire.Unmarshal(body, &transaction) != nil {
		return wire.Response{}
	}
	tooLarge := exceedsInJSON(body, maxBodyBytes)
	if s.limits != nil {
		maxCompares := 4 * s.limits.TxnOps
		tooLarge = tooLarge || len(transaction.Mutations) > s.limits.TxnOps || len(transaction.Compares) > maxCompares
		for _, mutation := range transaction.Mutations {
			tooLarge = tooLarge || jsonSize(mutation.Value) > s.limits.ValueBytes
		}
	}
	switch {
	case tooLarge:
		s.refusals.TooLarge++
		return wire.Response{Status: wire.StatusBadRequest, Body: wire.Marshal(map[string]string{"error": "too large"})}
	case s.limits != nil && !s.writes.AllowN(time.Now(), len(transaction.Mutations)):
		s.refusals.TooMany++
		return wire.Response{Status: wire.StatusTooManyRequests}
	}
	return wire.Response{}
}

// exceedsInJSON reports whether the JSON form of an encoded value is longer than a number of bytes.
func exceedsInJSON(encoded []byte, limit int) bool {
	const maxGrowth = 5 // null, the value that grows most, takes one byte in CBOR and four and a comma in JSON
	return len(encoded) > limit/maxGrowth && JSONSize(encoded) > limit
}

// JSONSize returns the size of the JSON form of an encoded value, in bytes, as the receivers of requests
// count it. It uses an encoder of JSON, unlike wire.JSONSize, and so checks that function in tests. It
// panics if the value is invalid.
func JSONSize(encoded []byte) int {
	var value any
	if err := wire.UnmarshalValue(encoded, &value); err != nil {
		panic(fmt.Sprintf("fake: decode value: %v", err))
	}
	return jsonSize(value)
}

// jsonSize returns the size of the JSON form of a decoded value, in bytes.
func jsonSize(value any) int {
	text, err := json.Marshal(jsonValue(value))
	if err != nil {
		panic(fmt.Sprintf("fake: JSON form of a value: %v", err))
	}
	return len(text)
}

// jsonValue converts a decoded CBOR value to one that json.Marshal accepts.
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
