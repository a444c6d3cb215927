// Package kvstore is the client of the state service: keys with revisions,
// conditional transactions, leases and watches, within this node's share of
// the service's limits.
package kvstore

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"tulipshelf/internal/wire"
)

// Errors that callers tell apart. Any other error, and ErrUnknown above all,
// leaves open whether a transaction was or yet will be applied.
var (
	ErrRefused     = errors.New("kvstore: not executed") // 429, 503, or nothing sent
	ErrUnknown     = errors.New("kvstore: outcome unknown")
	ErrNotFound    = errors.New("kvstore: not found")
	ErrNoSuchLease = errors.New("kvstore: no such lease")
	ErrCompacted   = errors.New("kvstore: revision too old") // the keys have to be read again, by pages
	ErrRateLimited = fmt.Errorf("%w: over this node's own rate", ErrRefused)
)

// Priority orders requests when the budget runs short.
type Priority int

// From what may go into debt to what waits first.
const (
	PriorityLease      Priority = iota // leadership: never held back here
	PriorityUser                       // submissions, cancellations, polls
	PriorityScheduling                 // starts and ends of jobs
	PriorityBackground                 // everything else
)

// reservedShare is the part of a second's rate that an urgency leaves to the more urgent.
// Starts alone can use up all there is while a few arrays run, and then users
// were refused at the node that leads (a quiet day of omaruru-fares-grown).
var reservedShare = [...]float64{PriorityScheduling: 0.25, PriorityBackground: 0.5}

// Item is one key with its value and revision.
type Item struct {
	Key      string   `cbor:"path"`
	Value    wire.Raw `cbor:"value"`
	Revision uint64   `cbor:"stamp"`
}

// Compare requires that a key has a revision; 0: that it does not exist.
type Compare struct {
	Key      string `cbor:"path"`
	Revision uint64 `cbor:"stamp"`
}

// Mutation is a put, with an optional lease, or a delete.
type Mutation struct {
	Put    string   `cbor:"put,omitempty"`
	Value  wire.Raw `cbor:"value,omitempty"`
	Lease  uint64   `cbor:"hold,omitempty"`
	Delete string   `cbor:"drop,omitempty"`
}

// ConflictError tells which conditions of a transaction did not hold.
type ConflictError struct{ Keys []string }

func (e *ConflictError) Error() string { return fmt.Sprintf("kvstore: conflict on %v", e.Keys) }

// Event is one change seen by a watch.
type Event struct {
	Put      string   `cbor:"put"`
	Value    wire.Raw `cbor:"value"`
	Revision uint64   `cbor:"stamp"`
	Delete   string   `cbor:"drop"`
}

// Client talks to the state service. It is safe for concurrent use.
type Client struct {
	http   *wire.Client
	reqs   bucket
	writes bucket
	lastOK atomic.Int64 // when the service last executed anything, in Unix nanoseconds

	// Refused, if not nil, is told when a transaction is refused as too large, or else as
	// one too many: the service's limits may be lower from now on.
	OnRefused func(tooLarge bool)
}

// SetRates sets lower rates.
func (c *Client) SetRates(rps, writeRPS float64) {
	c.reqs.set(rps)
	c.writes.set(writeRPS)
}

func (c *Client) refused(target string, tooLarge bool) {
	if target == txnPath && c.OnRefused != nil {
		c.OnRefused(tooLarge)
	}
}

// ServedWithin tells whether the service executed a request of this node lately.
func (c *Client) ServedWithin(within time.Duration) bool {
	return time.Since(time.Unix(0, c.lastOK.Load())) < within
}

// timeout bounds one request. The service usually answers within 10 ms and now
// and then takes a few hundred.
const timeout = 1500 * time.Millisecond

// maxResponse bounds the memory that one response takes. A page of a range read has at most
// 512 KiB, but changes come in one response however many they are: where they are more, the
// keys are read again by pages.
//
// It guards against a node that has fallen behind and asks for the same changes over and over,
// until they are older than the last 10,000 (TestNodeReloadsAfterMissingChanges).
const maxResponse = 4 << 20

// New returns a client that uses at most the given requests and changes a
// second.
func New(dial wire.DialFunc, addr string, rps, writeRPS float64) *Client {
	return &Client{
		http:   &wire.Client{Dial: dial, Addr: addr, Limit: maxResponse, MaxIdle: 6},
		reqs:   newBucket(rps),
		writes: newBucket(writeRPS),
	}
}

// Get reads one key.
func (c *Client) Get(ctx context.Context, key string, u Priority) (Item, error) {
	if !c.reqs.take(1, u) {
		return Item{}, ErrRateLimited
	}
	var it Item
	if err := c.do(ctx, "GET", "/keys/"+key, nil, &it); err != nil {
		return Item{}, err
	}
	return it, nil
}

// Page is one answer of a range read.
type Page struct {
	Items    []Item `cbor:"items"`
	More     bool   `cbor:"has_next"`
	Revision uint64 `cbor:"epoch"`
}

// List reads up to limit keys that begin with prefix, behind after.
func (c *Client) List(ctx context.Context, prefix, after string, limit int, u Priority) (Page, error) {
	if !c.reqs.take(1, u) {
		return Page{}, ErrRateLimited
	}
	q := "/keys?starts=" + prefix + "&limit=" + strconv.Itoa(limit)
	if after != "" {
		q += "&after=" + after
	}
	var p Page
	if err := c.do(ctx, "GET", q, nil, &p); err != nil {
		return Page{}, err
	}
	return p, nil
}

const txnPath = "/txn"

// Txn applies ops if all conditions hold and returns the revision of the
// change. A failed condition gives a *ConflictError.
func (c *Client) Txn(ctx context.Context, conds []Compare, ops []Mutation, u Priority) (uint64, error) {
	if !c.reqs.take(1, u) || !c.writes.take(len(ops), u) {
		return 0, ErrRateLimited
	}
	body := wire.Marshal(struct {
		When []Compare  `cbor:"when"`
		Then []Mutation `cbor:"then"`
	}{conds, ops})
	var out struct {
		Rev    uint64   `cbor:"epoch"`
		Failed []string `cbor:"failed"`
	}
	err := c.do(ctx, "POST", txnPath, body, &out)
	if errors.Is(err, errConflict) {
		return 0, &ConflictError{out.Failed}
	}
	return out.Rev, err
}

// WriteBudget tells how many changes the budget would take now.
func (c *Client) WriteBudget(u Priority) int { return c.writes.left(u) }

// Grant opens a lease.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (uint64, error) {
	c.reqs.take(1, PriorityLease)
	var out struct {
		Lease uint64 `cbor:"hold"`
	}
	err := c.do(ctx, "POST", "/leases", wire.Marshal(map[string]int64{"ttl_ms": ttl.Milliseconds()}), &out)
	return out.Lease, err
}

// Extend renews a lease; ErrNotFound says that it has ended.
func (c *Client) Extend(ctx context.Context, lease uint64) error {
	c.reqs.take(1, PriorityLease)
	return c.do(ctx, "POST", "/leases/"+strconv.FormatUint(lease, 10)+"/extend", nil, nil)
}

// Revoke ends a lease at once.
func (c *Client) Revoke(ctx context.Context, lease uint64) error {
	c.reqs.take(1, PriorityLease)
	return c.do(ctx, "DELETE", "/leases/"+strconv.FormatUint(lease, 10), nil, nil)
}

// Watch waits up to wait for changes of keys that begin with prefix, after the
// given revision, and returns them with the revision they reach to.
func (c *Client) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]Event, uint64, error) {
	c.reqs.take(1, PriorityLease)
	ctx, cancel := context.WithTimeout(ctx, wait+2*time.Second)
	defer cancel()
	return c.changes(ctx, prefix, after, wait)
}

// Changes returns the changes of keys that begin with prefix after the given
// revision, at once: a linearizable read, as the revision they reach to is the
// service's own.
func (c *Client) Changes(ctx context.Context, prefix string, after uint64) ([]Event, uint64, error) {
	if !c.reqs.take(1, PriorityUser) {
		return nil, 0, ErrRateLimited
	}
	return c.changes(ctx, prefix, after, 0)
}

func (c *Client) changes(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]Event, uint64, error) {
	var out struct {
		Rev    uint64  `cbor:"epoch"`
		Events []Event `cbor:"events"`
	}
	q := "/changes?starts=" + prefix + "&after=" + strconv.FormatUint(after, 10) +
		"&wait_ms=" + strconv.FormatInt(wait.Milliseconds(), 10)
	err := c.do(ctx, "GET", q, nil, &out)
	if errors.Is(err, wire.ErrTooLarge) {
		return nil, 0, fmt.Errorf("%w: %w", ErrCompacted, err)
	}
	if err != nil {
		return nil, 0, err
	}
	return out.Events, out.Rev, nil
}

var errConflict = errors.New("kvstore: conflict")

func (c *Client) do(ctx context.Context, method, target string, body []byte, out any) error {
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, timeout)
		defer cancel()
	}
	resp, err := c.http.Do(ctx, method, target, body)
	if err != nil {
		c.http.CloseIdle()
		if errors.Is(err, wire.ErrNotSent) {
			return fmt.Errorf("%w: %w", ErrRefused, err)
		}
		return fmt.Errorf("%w: %w", ErrUnknown, err)
	}
	if resp.Status != 429 && resp.Status != 503 {
		c.lastOK.Store(time.Now().UnixNano())
	}
	switch resp.Status {
	case 200, 409:
		if out != nil && len(resp.Body) > 0 {
			if err := wire.Unmarshal(resp.Body, out); err != nil {
				return fmt.Errorf("%w: %w", ErrUnknown, err)
			}
		}
		if resp.Status == 409 {
			return errConflict
		}
		return nil
	case 204:
		return nil
	case 404:
		return ErrNotFound
	case 410:
		return ErrCompacted
	case 429:
		c.refused(target, false)
		return fmt.Errorf("%w: status %d", ErrRefused, resp.Status)
	case 503:
		return fmt.Errorf("%w: status %d", ErrRefused, resp.Status)
	case 400:
		var e struct {
			Error string `cbor:"error"`
		}
		if wire.Unmarshal(resp.Body, &e) == nil && e.Error == "no such lease" {
			return ErrNoSuchLease
		}
		c.refused(target, true)
		return fmt.Errorf("kvstore: %s %s: status 400 %q", method, target, e.Error)
	}
	return fmt.Errorf("%w: status %d", ErrUnknown, resp.Status)
}

// bucket bounds a rate, with one second's worth of burst. Urgent requests may
// overdraw it; the rest leaves a part to them.
type bucket struct{ *rate.Limiter }

func newBucket(perSecond float64) bucket {
	return bucket{rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))}
}

func (b bucket) set(perSecond float64) {
	b.SetLimit(rate.Limit(perSecond))
	b.SetBurst(max(1, int(perSecond)))
}

func (b bucket) take(n int, u Priority) bool {
	now := time.Now()
	if u == PriorityLease {
		b.ReserveN(now, n)
		return true
	}
	return n <= b.left(u) && b.AllowN(now, n)
}

// left returns how much the urgency may take now.
func (b bucket) left(u Priority) int {
	return max(0, int(b.Tokens()-reservedShare[u]*float64(b.Burst())))
}
