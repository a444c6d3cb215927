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

// ampleRate is a request rate, per second, that is too high to delay the requests of a test.
const ampleRate = 1000.0

// withCloud runs a test in simulated time against a cloud whose responses come from handler.
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

// A refusal for lack of capacity has the same status as an outage. If the two were confused, a rental
// that an outage may have left executed would be treated as one without effect.
func TestRentErrors(t *testing.T) {
	for _, test := range []struct {
		name       string
		response   wire.Response
		noCapacity bool
		status     int // of the StatusError; 0: another error
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
					t.Fatalf("Rent: names %q, error %v, want an error and no names", names, err)
				}
				if errors.Is(err, cloud.ErrNoCapacity) != test.noCapacity {
					t.Errorf("error %v: is ErrNoCapacity %v, want %v", err, !test.noCapacity, test.noCapacity)
				}
				if malformed := test.status == 400; cloud.IsMalformed(err) != malformed {
					t.Errorf("error %v: IsMalformed %v, want %v", err, !malformed, malformed)
				}
				var status cloud.StatusError
				if errors.As(err, &status); status.Status != test.status {
					t.Errorf("StatusError with status %d in error %v, want %d", status.Status, err, test.status)
				}
			})
		})
	}
}

// A rental whose response is lost may have been executed. Repeating it under the same name must return
// the same machines and rent no others.
func TestRentRepeated(t *testing.T) {
	var mu sync.Mutex // guards rented and requests: the first request is still handled when the second arrives
	rented := map[string][]string{}
	requests := 0
	respond := func(req *wire.Request) wire.Response {
		var rental cloud.Rental
		if err := wire.Unmarshal(req.Body, &rental); err != nil || req.Method != "POST" || req.Path != "/rentals" {
			t.Errorf("request %s %s, decode error %v, want POST /rentals", req.Method, req.Path, err)
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
			time.Sleep(time.Minute) // longer than any timeout
		}
		return success(map[string]any{"shelves": names})
	}
	withCloud(t, ampleRate, respond, func(ctx context.Context, client *cloud.Client) {
		rental := cloud.Rental{Name: "r-1", Type: "g8", Zone: "north", Count: 2}
		start := time.Now()
		if names, err := client.Rent(ctx, rental); !errors.Is(err, os.ErrDeadlineExceeded) || names != nil {
			t.Fatalf("Rent without a response: names %q, error %v, want a time-out", names, err)
		}
		if waited := time.Since(start); waited != 4*time.Second {
			t.Errorf("time-out after %v, want 4 s", waited)
		}
		names, err := client.Rent(ctx, rental)
		if want := []string{"vm-r-1-0", "vm-r-1-1"}; err != nil || !slices.Equal(names, want) || len(rented) != 1 {
			t.Errorf("repeated Rent: names %q, error %v, want %q; rentals executed: %v, want one", names, err, want, rented)
		}
		time.Sleep(time.Minute)
	})
}

// The list is read page by page, each after the last name of the page before, until the cloud reports no
// further page.
func TestListPages(t *testing.T) {
	pages := map[string]map[string]any{
		"limit=500":            {"shelves": []cloud.Machine{{Name: "vm-1", Status: cloud.MachineStarting}, {Name: "vm-2"}}, "has_next": true},
		"limit=500&after=vm-2": {"shelves": []cloud.Machine{{Name: "vm-3", Status: cloud.MachineRunning, Spot: true}}, "has_next": true},
		"limit=500&after=vm-3": {"shelves": []cloud.Machine{{Name: "vm-4", Status: cloud.MachineFailed}}, "has_next": false},
	}
	respond := func(req *wire.Request) wire.Response {
		page, ok := pages[req.Query]
		if !ok || req.Method != "GET" || req.Path != "/rentals" {
			t.Errorf("unexpected request %s %s?%s", req.Method, req.Path, req.Query)
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
			t.Errorf("List: machines %+v, error %v, want %+v", machines, err, want)
		}
	})
}

// If a later page fails, List returns no machines at all. In a partial list, the machines of the missing
// pages would look as if they were lost.
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
			t.Errorf("List: machines %+v, error %v, want none and status 503", machines, err)
		}
	})
}

// A burst of two seconds' requests is sent at once, and further requests at the rate. A request that
// would have to wait beyond its context's deadline is not sent.
func TestRate(t *testing.T) {
	const rate, burst = 5.0, 10
	requests := 0
	respond := func(*wire.Request) wire.Response {
		requests++
		return success(map[string]any{"builds": []cloud.Type{{Name: "g8"}}})
	}
	withCloud(t, rate, respond, func(ctx context.Context, client *cloud.Client) {
		if ready := client.Ready(); ready != burst {
			t.Errorf("%d requests ready at first, want %d", ready, burst)
		}
		start := time.Now()
		catalog := func(ctx context.Context) error {
			types, err := client.Catalog(ctx)
			if err == nil && (len(types) != 1 || types[0].Name != "g8") {
				t.Errorf("Catalog: types %+v, want g8 alone", types)
			}
			return err
		}
		for i := range burst + 5 {
			if err := catalog(ctx); err != nil {
				t.Fatal(err)
			}
			if i == burst-1 && time.Since(start) != 0 {
				t.Errorf("burst of requests took %v, want no time", time.Since(start))
			}
		}
		if took := time.Since(start); took != time.Second {
			t.Errorf("burst and 5 more requests took %v, want 1 s", took)
		}
		if ready := client.Ready(); ready != 1 {
			t.Errorf("%d requests ready after the burst, want 1", ready)
		}
		short, cancel := context.WithTimeout(ctx, 100*time.Millisecond)
		defer cancel()
		if err := catalog(short); err == nil || requests != burst+5 {
			t.Errorf("request beyond the deadline: error %v, want one; %d requests sent, want %d", err, requests, burst+5)
		}
	})
}

// A list of 6,000 machines takes 13 requests, which may use 0.4 of the rate.
func TestListInterval(t *testing.T) {
	client := cloud.New(nil, cloudAddr, 5)
	for machines, want := range map[int]time.Duration{0: 500 * time.Millisecond, 499: 500 * time.Millisecond, 6000: 6500 * time.Millisecond} {
		if interval := client.ListInterval(machines); interval != want {
			t.Errorf("list of %d machines: interval %v, want %v", machines, interval, want)
		}
	}
}

// The request of a return names the machines. A response without a body is a success.
func TestReturn(t *testing.T) {
	var got struct {
		Machines []string `cbor:"shelves"`
	}
	respond := func(req *wire.Request) wire.Response {
		if err := wire.Unmarshal(req.Body, &got); err != nil || req.Path != "/rentals/return" {
			t.Errorf("request to %s, decode error %v, want /rentals/return", req.Path, err)
		}
		return wire.Response{Status: wire.StatusOK}
	}
	withCloud(t, ampleRate, respond, func(ctx context.Context, client *cloud.Client) {
		names := []string{"vm-2", "vm-1"}
		if err := client.Return(ctx, names); err != nil || !slices.Equal(got.Machines, names) {
			t.Errorf("Return: machines %q in the request, error %v, want %q", got.Machines, err, names)
		}
	})
}
