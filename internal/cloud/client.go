// Package cloud is the client of the cloud that rents out machines. It keeps requests within this
// node's share of the request rate that the cloud allows.
package cloud

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"time"

	"golang.org/x/time/rate"

	"tulipshelf/internal/wire"
)

const (
	// requestTimeout bounds one request, not counting its wait for the rate limiter. It allows for
	// returns, which may take the cloud longer than other requests.
	requestTimeout = 4 * time.Second

	// maxResponseBytes is the maximum size of a response body, in bytes. It is above any page of the
	// list and any catalog.
	maxResponseBytes = 4 << 20

	// burstSeconds is the time over which unused rate accumulates, in seconds. The cloud allows a
	// burst of the same size.
	burstSeconds = 2

	// listShare is the fraction of the request rate that lists may use.
	listShare = 0.4
)

// ErrNoCapacity is returned for a rental if no machine of the requested type, zone and kind (spot
// instance or on demand) is available. The rental has had no effect.
var ErrNoCapacity = errors.New("cloud: no capacity")

// StatusError is returned for a response whose status is not 200, except for the refusal that
// ErrNoCapacity stands for.
type StatusError struct {
	Method string
	Target string // path and query
	Status int
}

// Error returns the request and the status.
func (e StatusError) Error() string {
	return fmt.Sprintf("cloud: %s %s: status %d", e.Method, e.Target, e.Status)
}

// IsMalformed reports whether an error means that the cloud has refused a request as malformed. The request has
// had no effect, and would be refused again.
func IsMalformed(err error) bool {
	var refused StatusError
	return errors.As(err, &refused) && refused.Status == wire.StatusBadRequest
}

// Client makes requests to the cloud. It is safe for concurrent use. Methods with a context wait, for
// each of their requests, until the rate allows it, and then up to 4 s for the response. Their errors
// are ErrNoCapacity or a StatusError, or wrap the error of the rate limiter, of wire.Client.Do or of
// the codec.
type Client struct {
	http    *wire.Client
	limiter *rate.Limiter
}

// New returns a client of the cloud at addr that makes at most the given number of requests a
// second. After an idle period it sends a burst of up to two seconds' requests, and at least one.
// A nil dial is wire.Client's default.
func New(dial wire.DialFunc, addr string, requestsPerSecond float64) *Client {
	burst := max(1, int(burstSeconds*requestsPerSecond))
	return &Client{
		http:    &wire.Client{Dial: dial, Addr: addr, Limit: maxResponseBytes},
		limiter: rate.NewLimiter(rate.Limit(requestsPerSecond), burst),
	}
}

// Ready returns the number of requests that the rate allows without a wait, but at least one.
func (c *Client) Ready() int { return max(1, int(c.limiter.Tokens())) }

// ListInterval returns the interval at which lists of the given number of machines use listShare of
// the request rate, which leaves most of it to rentals and returns. A list takes one request for
// each page.
func (c *Client) ListInterval(machines int) time.Duration {
	pages := machines/maxPageSize + 1
	pagesPerSecond := listShare * float64(c.limiter.Limit())
	return time.Duration(float64(pages) / pagesPerSecond * float64(time.Second))
}

// Catalog returns the machine types with their current prices.
func (c *Client) Catalog(ctx context.Context) ([]Type, error) {
	var resp catalogResponse
	err := c.do(ctx, wire.MethodGet, "/catalog", nil, &resp)
	return resp.Types, err
}

// Rent requests machines and returns the names of those rented, which may be fewer than
// rental.Count. After an error other than ErrNoCapacity and those for which IsMalformed returns true the
// rental may or may not have been executed. Only repeating the same request settles this: it returns the
// machines of an executed rental, and otherwise executes the rental.
func (c *Client) Rent(ctx context.Context, rental Rental) ([]string, error) {
	var resp rentResponse
	err := c.do(ctx, wire.MethodPost, "/rentals", wire.Marshal(rental), &resp)
	return resp.Machines, err
}

// Return returns machines to the cloud, at most MaxReturn of them. After success the machines and all
// that ran on them are gone; after an error they may be. Returning a machine again has no effect.
func (c *Client) Return(ctx context.Context, names []string) error {
	return c.do(ctx, wire.MethodPost, "/rentals/return", wire.Marshal(returnRequest{names}), nil)
}

// List reads all rented machines, page by page, and returns them as they were some seconds ago. If
// any page fails, it returns that error and no machines.
func (c *Client) List(ctx context.Context) ([]Machine, error) {
	var machines []Machine
	target := "/rentals?limit=" + strconv.Itoa(maxPageSize)
	for next := target; ; {
		var page listResponse
		if err := c.do(ctx, wire.MethodGet, next, nil, &page); err != nil {
			return nil, err
		}
		machines = append(machines, page.Machines...)
		if !page.More || len(page.Machines) == 0 {
			return machines, nil
		}
		last := page.Machines[len(page.Machines)-1]
		next = target + "&after=" + last.Name
	}
}

// do makes one request and decodes the body of a successful response into out, unless out is nil.
func (c *Client) do(ctx context.Context, method, target string, body []byte, out any) error {
	if err := c.limiter.Wait(ctx); err != nil {
		return fmt.Errorf("cloud: %s %s: wait for the request rate: %w", method, target, err)
	}
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	resp, err := c.http.Do(ctx, method, target, body)
	if err != nil {
		c.http.CloseIdle()
		return fmt.Errorf("cloud: %w", err)
	}
	if refusedForCapacity(resp) {
		return ErrNoCapacity
	}
	if resp.Status != wire.StatusOK {
		return StatusError{method, target, resp.Status}
	}
	if out == nil {
		return nil
	}
	if err := wire.Unmarshal(resp.Body, out); err != nil {
		return fmt.Errorf("cloud: %s %s: decode response: %w", method, target, err)
	}
	return nil
}

// refusedForCapacity reports whether a response refuses a rental for lack of capacity. An outage has
// the same status, 503, but not the same text.
func refusedForCapacity(resp wire.Response) bool {
	if resp.Status != wire.StatusServiceUnavailable {
		return false
	}
	var problem wire.Problem
	return wire.Unmarshal(resp.Body, &problem) == nil && problem.Error == noCapacity
}
