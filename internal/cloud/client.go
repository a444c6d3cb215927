// Package cloud is the client of the cloud that rents machines, within this
// node's share of its request rate.
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

// ErrNoCapacity says that no machine of this type, zone and kind is to be had.
var ErrNoCapacity = errors.New("cloud: no capacity")

// Client talks to the cloud.
type Client struct {
	http  *wire.Client
	limit *rate.Limiter
}

// timeout bounds one request; carrying out a return may take longer than an
// ordinary answer.
const timeout = 4 * time.Second

// New returns a client that makes at most rps requests a second, after a quiet time as
// many as two seconds are worth at once, as the cloud allows.
func New(dial wire.DialFunc, addr string, rps float64) *Client {
	return &Client{http: &wire.Client{Dial: dial, Addr: addr, Limit: 4 << 20}, limit: rate.NewLimiter(rate.Limit(rps), max(1, int(2*rps)))}
}

// Ready tells how many requests would be sent without waiting, at least one.
func (c *Client) Ready() int { return max(1, int(c.limit.Tokens())) }

// listShare is the part of the rate that may go into lists.
const listShare = 0.4

// ListEvery returns how far apart lists of so many machines have to be for most of the rate to
// be left to rentals and returns: a list of 6,000 takes 12 requests.
func (c *Client) ListEvery(machines int) time.Duration {
	pages := machines/maxList + 1
	return time.Duration(float64(pages) / (listShare * float64(c.limit.Limit())) * float64(time.Second))
}

// Catalog returns the machine types with their current prices.
func (c *Client) Catalog(ctx context.Context) ([]Type, error) {
	var out struct {
		Types []Type `cbor:"builds"`
	}
	err := c.do(ctx, "GET", "/catalog", nil, &out)
	return out.Types, err
}

// Rent asks for machines and returns the names of those rented. After an error
// other than ErrNoCapacity it may or may not have been carried out: only the
// same request, sent again, tells.
func (c *Client) Rent(ctx context.Context, r Rental) ([]string, error) {
	var out struct {
		Machines []string `cbor:"shelves"`
	}
	err := c.do(ctx, "POST", "/rentals", wire.Marshal(r), &out)
	return out.Machines, err
}

// Return gives machines back. After success they and all on them are gone.
func (c *Client) Return(ctx context.Context, names []string) error {
	return c.do(ctx, "POST", "/rentals/return", wire.Marshal(map[string][]string{"shelves": names}), nil)
}

// List returns all machines, as they were some seconds ago.
func (c *Client) List(ctx context.Context) ([]Machine, error) {
	var all []Machine
	after := ""
	for {
		var page struct {
			Machines []Machine `cbor:"shelves"`
			More     bool      `cbor:"has_next"`
		}
		q := "/rentals?limit=" + strconv.Itoa(maxList)
		if after != "" {
			q += "&after=" + after
		}
		if err := c.do(ctx, "GET", q, nil, &page); err != nil {
			return nil, err
		}
		all = append(all, page.Machines...)
		if !page.More || len(page.Machines) == 0 {
			return all, nil
		}
		after = page.Machines[len(page.Machines)-1].Name
	}
}

func (c *Client) do(ctx context.Context, method, target string, body []byte, out any) error {
	if err := c.limit.Wait(ctx); err != nil {
		return fmt.Errorf("cloud: %w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	resp, err := c.http.Do(ctx, method, target, body)
	if err != nil {
		c.http.CloseIdle()
		return fmt.Errorf("cloud: %w", err)
	}
	if resp.Status == 503 {
		var e struct {
			Error string `cbor:"error"`
		}
		if wire.Unmarshal(resp.Body, &e) == nil && e.Error == "no capacity" {
			return ErrNoCapacity
		}
	}
	if resp.Status != 200 {
		return fmt.Errorf("cloud: %s %s: status %d", method, target, resp.Status)
	}
	if out == nil {
		return nil
	}
	if err := wire.Unmarshal(resp.Body, out); err != nil {
		return fmt.Errorf("cloud: %s %s: %w", method, target, err)
	}
	return nil
}
