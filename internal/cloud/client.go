// Package cloud is the client of the cloud that rents machines. It keeps within this node's share
// of the request rate that the cloud allows.
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
	// requestTimeout bounds one request once the rate lets it go. Carrying out a return may take
	// longer than an ordinary response.
	requestTimeout = 4 * time.Second

	// maxResponseBytes is above any page of the list and any catalog.
	maxResponseBytes = 4 << 20

	// burstSeconds is for how long unused rate accumulates: the cloud allows as much at once.
	burstSeconds = 2

	// listShare is the part of the rate that may go into lists.
	listShare = 0.4
)

// ErrNoCapacity says that no machine of the type, zone and kind that were asked for is available.
// The rental has had no effect.
var ErrNoCapacity = errors.New("cloud: no capacity")

// StatusError is a response with a status that is neither success nor one of the errors above.
type StatusError struct {
	Method string
	Target string // path and query
	Status int
}

// Error returns the request and the status.
func (e StatusError) Error() string {
	return fmt.Sprintf("cloud: %s %s: status %d", e.Method, e.Target, e.Status)
}

// Client makes requests to the cloud. All methods may be called from any goroutine; those with a
// context wait until the rate allows the request, and then for its response, at most for some
// seconds. Their errors wrap what the rate limiter, the connection (see wire.Client.Do) or the codec
// reported, or are a StatusError or ErrNoCapacity.
type Client struct {
	http    *wire.Client
	limiter *rate.Limiter
}

// New returns a client of the cloud at addr that makes at most the given number of requests a
// second, and after a quiet time as many at once as two seconds are worth. A nil dial is that of
// wire.Client.
func New(dial wire.DialFunc, addr string, requestsPerSecond float64) *Client {
	burst := max(1, int(burstSeconds*requestsPerSecond))
	return &Client{
		http:    &wire.Client{Dial: dial, Addr: addr, Limit: maxResponseBytes},
		limiter: rate.NewLimiter(rate.Limit(requestsPerSecond), burst),
	}
}

// Ready returns how many requests would be sent without waiting for the rate, but at least one.
func (c *Client) Ready() int { return max(1, int(c.limiter.Tokens())) }

// ListInterval returns how far apart lists of so many machines have to be for most of the rate to be
// left to rentals and returns: a list takes a request for each page.
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

// Rent asks for machines and returns the names of those rented, which may be fewer. After an error
// other than ErrNoCapacity it may or may not have been carried out: only the same request, sent
// again, shows.
func (c *Client) Rent(ctx context.Context, rental Rental) ([]string, error) {
	var resp rentResponse
	err := c.do(ctx, wire.MethodPost, "/rentals", wire.Marshal(rental), &resp)
	return resp.Machines, err
}

// Return gives machines back, at most MaxReturn. After success they and all on them are gone; after
// an error they may be. To return one again does no harm.
func (c *Client) Return(ctx context.Context, names []string) error {
	return c.do(ctx, wire.MethodPost, "/rentals/return", wire.Marshal(returnRequest{names}), nil)
}

// List returns all machines, as they were some seconds ago, page by page. An error of one page is
// one of the whole.
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

// do makes one request and decodes the body of a successful response into out, unless it is nil.
func (c *Client) do(ctx context.Context, method, target string, body []byte, out any) error {
	if err := c.limiter.Wait(ctx); err != nil {
		return fmt.Errorf("cloud: %w", err)
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
		return fmt.Errorf("cloud: %s %s: %w", method, target, err)
	}
	return nil
}

// refusedForCapacity tells the refusal of a rental apart from an outage, which has the same status.
func refusedForCapacity(resp wire.Response) bool {
	if resp.Status != wire.StatusServiceUnavailable {
		return false
	}
	var problem wire.Problem
	return wire.Unmarshal(resp.Body, &problem) == nil && problem.Error == noCapacity
}
