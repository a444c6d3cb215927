package cloud_test

import (
	"context"
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"tulipshelf/internal/cloud"
	"tulipshelf/internal/fake"
	"tulipshelf/internal/wire"
)

const cloudAddr = "cloud:1"

// ampleRate is a rate that no test but those of the rate comes near.
const ampleRate = 1000.0

// withCloud runs a test in simulated time against a cloud that responds by the handler.
func withCloud(t *testing.T, requestsPerSecond float64, handler func(*wire.Request) wire.Response, test func(context.Context, *cloud.Client)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		network := fake.NewNetwork(ctx)
		go network.Serve(ctx, cloudAddr, func(_ context.Context, req *wire.Request) wire.Response { return handler(req) })
		synctest.Wait()
		test(ctx, cloud.New(network.Dial("node"), cloudAddr, requestsPerSecond))
		cancel()
		synctest.Wait()
	})
}

func success(body any) wire.Response {
	return wire.Response{Status: wire.StatusOK, Body: wire.Marshal(body)}
}

// A refusal for lack of machines is told apart from an outage, after which nothing is known of what
// was asked for.
func TestRentErrors(t *testing.T) {
	for _, test := range []struct {
		name       string
		response   wire.Response
		noCapacity bool
		status     int // of the StatusError; 0: it is none
	}{
		{"no capacity", wire.Response{Status: 503, Body: wire.Marshal(wire.Problem{Error: "no capacity"})}, true, 0},
		{"outage", wire.Response{Status: 503, Body: wire.Marshal(wire.Problem{Error: "trouble"})}, false, 503},
		{"outage without a body", wire.Response{Status: 503}, false, 503},
		{"same text, other status", wire.Response{Status: 400, Body: wire.Marshal(wire.Problem{Error: "no capacity"})}, false, 400},
		{"body that is no map", wire.Response{Status: 200, Body: []byte{1}}, false, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			respond := func(*wire.Request) wire.Response { return test.response }
			withCloud(t, ampleRate, respond, func(ctx context.Context, client *cloud.Client) {
				names, err := client.Rent(ctx, cloud.Rental{Name: "r-1", Count: 1})
				if err == nil || len(names) > 0 {
					t.Fatalf("%q, %v", names, err)
				}
				if errors.Is(err, cloud.ErrNoCapacity) != test.noCapacity {
					t.Errorf("no capacity is %v in %v", !test.noCapacity, err)
				}
				var status cloud.StatusError
				if errors.As(err, &status); status.Status != test.status {
					t.Errorf("status %d in %v, not %d", status.Status, err, test.status)
				}
			})
		})
	}
}

// A rental of which the response is lost may have been carried out; sent again under its name it
// brings the same machines and no others.
func TestRentRepeated(t *testing.T) {
	var mu sync.Mutex // guards the two: the first request is still being handled when the second comes
	rented := map[string][]string{}
	requests := 0
	respond := func(req *wire.Request) wire.Response {
		var rental cloud.Rental
		if err := wire.Unmarshal(req.Body, &rental); err != nil || req.Method != "POST" || req.Path != "/rentals" {
			t.Errorf("%s %s: %v", req.Method, req.Path, err)
		}
		mu.Lock()
		requests++
		first := requests == 1
		if rented[rental.Name] == nil {
			for i := range rental.Count {
				rented[rental.Name] = append(rented[rental.Name], fmt.Sprintf("vm-%s-%d", rental.Name, i))
			}
		}
		names := rented[rental.Name]
		mu.Unlock()
		if first {
			time.Sleep(time.Minute) // beyond any time-out
		}
		return success(map[string]any{"shelves": names})
	}
	withCloud(t, ampleRate, respond, func(ctx context.Context, client *cloud.Client) {
		rental := cloud.Rental{Name: "r-1", Type: "g8", Zone: "north", Count: 2}
		start := time.Now()
		if names, err := client.Rent(ctx, rental); !errors.Is(err, os.ErrDeadlineExceeded) || names != nil {
			t.Fatalf("%q, %v", names, err)
		}
		if waited := time.Since(start); waited != 4*time.Second {
			t.Errorf("waited for %v", waited)
		}
		names, err := client.Rent(ctx, rental)
		if want := []string{"vm-r-1-0", "vm-r-1-1"}; err != nil || !slices.Equal(names, want) || len(rented) != 1 {
			t.Errorf("%q, %v; rented %v", names, err, rented)
		}
		time.Sleep(time.Minute)
	})
}

// The list is read page by page, each from the last name of the one before, until the cloud says
// that there is no more.
func TestListPages(t *testing.T) {
	pages := map[string]map[string]any{
		"limit=500":            {"shelves": []cloud.Machine{{Name: "vm-1", Status: cloud.MachineStarting}, {Name: "vm-2"}}, "has_next": true},
		"limit=500&after=vm-2": {"shelves": []cloud.Machine{{Name: "vm-3", Status: cloud.MachineRunning, Spot: true}}, "has_next": true},
		"limit=500&after=vm-3": {"shelves": []cloud.Machine{{Name: "vm-4", Status: cloud.MachineFailed}}, "has_next": false},
	}
	respond := func(req *wire.Request) wire.Response {
		page, ok := pages[req.Query]
		if !ok || req.Method != "GET" || req.Path != "/rentals" {
			t.Errorf("%s %s?%s", req.Method, req.Path, req.Query)
		}
		return success(page)
	}
	withCloud(t, ampleRate, respond, func(ctx context.Context, client *cloud.Client) {
		machines, err := client.List(ctx)
		want := []cloud.Machine{
			{Name: "vm-1", Status: cloud.MachineStarting},
			{Name: "vm-2"},
			{Name: "vm-3", Status: cloud.MachineRunning, Spot: true},
			{Name: "vm-4", Status: cloud.MachineFailed},
		}
		if err != nil || !slices.Equal(machines, want) {
			t.Errorf("%+v, %v", machines, err)
		}
	})
}

// A list that ends in an error is none: machines that are missing would be taken for lost.
func TestListErrorOfLaterPage(t *testing.T) {
	respond := func(req *wire.Request) wire.Response {
		if strings.Contains(req.Query, "after=") {
			return wire.Response{Status: 503}
		}
		return success(map[string]any{"shelves": []cloud.Machine{{Name: "vm-1"}}, "has_next": true})
	}
	withCloud(t, ampleRate, respond, func(ctx context.Context, client *cloud.Client) {
		machines, err := client.List(ctx)
		var status cloud.StatusError
		if !errors.As(err, &status) || status.Status != 503 || machines != nil {
			t.Errorf("%+v, %v", machines, err)
		}
	})
}

// What two seconds allow is sent at once, and the rest at the rate. A request that would have to
// wait beyond its context's deadline is not sent.
func TestRate(t *testing.T) {
	const rate, burst = 5.0, 10
	requests := 0
	respond := func(*wire.Request) wire.Response {
		requests++
		return success(map[string]any{"builds": []cloud.Type{{Name: "g8"}}})
	}
	withCloud(t, rate, respond, func(ctx context.Context, client *cloud.Client) {
		if ready := client.Ready(); ready != burst {
			t.Errorf("%d ready", ready)
		}
		start := time.Now()
		catalog := func(ctx context.Context) error {
			types, err := client.Catalog(ctx)
			if err == nil && (len(types) != 1 || types[0].Name != "g8") {
				t.Errorf("%+v", types)
			}
			return err
		}
		for i := range burst + 5 {
			if err := catalog(ctx); err != nil {
				t.Fatal(err)
			}
			if i == burst-1 && time.Since(start) != 0 {
				t.Errorf("burst took %v", time.Since(start))
			}
		}
		if took := time.Since(start); took != time.Second {
			t.Errorf("took %v", took)
		}
		if ready := client.Ready(); ready != 1 {
			t.Errorf("%d ready after the burst", ready)
		}
		short, cancel := context.WithTimeout(ctx, 100*time.Millisecond)
		defer cancel()
		if err := catalog(short); err == nil || requests != burst+5 {
			t.Errorf("%v after %d requests", err, requests)
		}
	})
}

// A list of 6,000 machines takes 13 requests, for which 0.4 of the rate is there.
func TestListEvery(t *testing.T) {
	client := cloud.New(nil, cloudAddr, 5)
	for machines, want := range map[int]time.Duration{0: 500 * time.Millisecond, 499: 500 * time.Millisecond, 6000: 6500 * time.Millisecond} {
		if interval := client.ListInterval(machines); interval != want {
			t.Errorf("%d machines: %v, not %v", machines, interval, want)
		}
	}
}

// A return names the machines, and its success needs no body.
func TestReturn(t *testing.T) {
	var got struct {
		Machines []string `cbor:"shelves"`
	}
	respond := func(req *wire.Request) wire.Response {
		if err := wire.Unmarshal(req.Body, &got); err != nil || req.Path != "/rentals/return" {
			t.Errorf("%s: %v", req.Path, err)
		}
		return wire.Response{Status: wire.StatusOK}
	}
	withCloud(t, ampleRate, respond, func(ctx context.Context, client *cloud.Client) {
		names := []string{"vm-2", "vm-1"}
		if err := client.Return(ctx, names); err != nil || !slices.Equal(got.Machines, names) {
			t.Errorf("%q, %v", got.Machines, err)
		}
	})
}
