package controller

// Users' requests: what is refused, and that answers come in time and stay consistent.

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"tulipshelf/internal/job"
	"tulipshelf/internal/jobstore"
)

func TestInvalidRequestsAreRefused(t *testing.T) {
	simulate(t, func(c *cluster) {
		time.Sleep(2 * time.Second)
		with := func(field string, v any) map[string]any {
			m := submission("wk-000009", job.Array, 2, 5)
			m[field] = v
			return m
		}
		without := with("lane", nil)
		for _, x := range []struct {
			name string
			body map[string]any
			want int
		}{
			{"bad id", with("uid", "job-1"), 400},
			{"negative", with("cpus", -1.0), 400},
			{"too many tasks", with("tickets", 100_001), 400},
			{"unknown shape", with("shape", "tree"), 400},
			{"unknown rank", with("rank", "top"), 400},
			{"missing field", without, 400},
			{"unknown team", with("crew", "others"), 422},
			{"too large", with("cpus", 5.0), 422},
			{"no such zone", with("depot", "z"), 422},
			{"unknown field", with("colour", "red"), 201},
		} {
			if got := c.submit(1, x.body); got != x.want {
				t.Errorf("%s: %d, want %d", x.name, got, x.want)
			}
		}
		for _, x := range []struct {
			method, path string
			body         string
			want         int
		}{
			{"POST", "/v1/jobs", "", 400},
			{"POST", "/v1/jobs", "\x80", 400},
			{"POST", "/v1/jobs", "\xa2\x63uid\x61x\x63uid\x61y", 400},
			{"POST", "/v1/jobs", strings.Repeat("\xa1\x61a", 40) + "\x01", 400},
			{"GET", "/v1/jobs", "", 405},
			{"DELETE", "/v1/jobs/wk-000001", "", 405},
			{"GET", "/v1/jobs/none", "", 404},
			{"GET", "/v2", "", 404},
			{"POST", "/ready", "", 405},
			{"GET", "/ready", "", 200},
		} {
			if got := c.ask(1, x.method, x.path, []byte(x.body)).Status; got != x.want {
				t.Errorf("%s %s %q: %d, want %d", x.method, x.path, x.body, got, x.want)
			}
		}
	})
}

// Polls that come together are confirmed by one read, and what another node has
// told a user is never answered over with an older state (grown deployments: a
// request a poll took more than the state service's rate).
func TestConcurrentPollsShareStoreReads(t *testing.T) {
	simulate(t, func(c *cluster) {
		time.Sleep(2 * time.Second)
		const jobs = 60
		id := func(i int) string { return fmt.Sprintf("wk-%06d", i) }
		for i := range jobs {
			c.accept(10*time.Second, i%3, submission(id(i), job.Service, 1, 0))
		}
		time.Sleep(30 * time.Second)
		before := c.store.Requests()
		got := make(chan string, jobs)
		for i := range jobs {
			go func() { got <- c.status(1, id(i)) }()
		}
		for range jobs {
			if s := <-got; s != "pending" && s != "running" {
				t.Errorf("poll: %s", s)
			}
		}
		if n := c.store.Requests() - before; n > jobs/4 {
			t.Errorf("%d polls at once took %d requests", jobs, n)
		}
		for i := range 20 {
			if s := c.ask(i%3, "POST", "/v1/jobs/"+id(i)+"/abort", nil).Status; s != 200 {
				t.Errorf("abort: %d", s)
			}
			if s := c.status((i+1)%3, id(i)); s != jobstore.StatusCancelled {
				t.Errorf("another node says %s after the cancellation was told", s)
			}
		}
	})
}

// Questions come many times as often for a while, most of them about jobs that nobody has
// submitted or that are over: submissions are still taken at once, unfinished jobs are
// answered, and a job asked about before it is submitted is known afterwards.
func TestSubmissionsAcceptedUnderPollLoad(t *testing.T) {
	simulate(t, func(c *cluster) {
		c.rps = 60
		c.restartAll()
		time.Sleep(2 * time.Second)
		c.runService(4)
		var mu sync.Mutex
		answered, asked := 0, 0
		stop := time.Now().Add(time.Minute)
		for k := range 40 { // 80 questions a second
			go func() {
				for i := 0; time.Now().Before(stop); i++ {
					s := c.status(k%3, fmt.Sprintf("wk-%06d", 500+(k*37+i)%400))
					if s != "404" && s != "503" {
						t.Errorf("nobody's job is %s", s)
					}
					if s = c.status(k%3, "wk-000001"); s == "running" {
						mu.Lock()
						answered++
						mu.Unlock()
					}
					mu.Lock()
					asked++
					mu.Unlock()
					time.Sleep(time.Second)
				}
			}()
		}
		for i := 2; i < 20; i++ {
			id := fmt.Sprintf("wk-%06d", i)
			if s := c.status(0, id); s != "404" && s != "503" {
				t.Errorf("%s before its submission: %s", id, s)
			}
			if s := c.submit(i%3, submission(id, job.Array, 1, 2)); s != 201 {
				t.Errorf("submission in the storm: %d", s)
			}
			if s := c.status((i+1)%3, id); s == "404" {
				t.Errorf("%s unknown after its submission", id)
			}
			time.Sleep(3 * time.Second)
		}
		mu.Lock()
		if answered < asked*9/10 {
			t.Errorf("%d of %d questions about a running job answered", answered, asked)
		}
		mu.Unlock()
		for i := 2; i < 20; i++ {
			c.until("array done", time.Minute, c.done(fmt.Sprintf("wk-%06d", i)))
		}
	})
}

// The users' rule: once all troubles are over, each job that is asked about is
// answered within 75 s. Here the state service allows fewer requests than there are
// questions, and all come in the same order each time.
func TestAllPollsAnsweredAfterOutage(t *testing.T) {
	simulate(t, func(c *cluster) {
		c.rps = 30
		c.restartAll()
		time.Sleep(2 * time.Second)
		const jobs = 150
		id := func(i int) string { return fmt.Sprintf("wk-%06d", i) }
		for i := range jobs {
			c.accept(time.Minute, i%3, submission(id(i), job.Service, 1, 0))
		}
		c.store.Down(true)
		c.restartAll()
		time.Sleep(30 * time.Second)
		c.store.Down(false)
		var mu sync.Mutex
		answered := map[string]bool{}
		for end := time.Now().Add(75 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Second) {
			for i := range jobs {
				go func() {
					if s := c.status(1, id(i)); s == "pending" || s == "running" {
						mu.Lock()
						defer mu.Unlock()
						answered[id(i)] = true
					}
				}()
				time.Sleep(time.Millisecond)
			}
		}
		mu.Lock()
		defer mu.Unlock()
		if len(answered) != jobs {
			t.Errorf("%d of %d jobs had an answer", len(answered), jobs)
		}
	})
}

// Users ask at all nodes, again and again within milliseconds, and repeat the submission,
// right after a job was accepted, ended or confirmed as cancelled; some cancel at once.
func TestReadsAreConsistentAfterWrites(t *testing.T) {
	simulate(t, func(c *cluster) {
		c.rps = 400
		c.restartAll()
		time.Sleep(2 * time.Second)
		var wg sync.WaitGroup
		answered := 0
		var mu sync.Mutex
		look := func(id string, m map[string]any) {
			for k := range 12 {
				wg.Add(1)
				go func() {
					defer wg.Done()
					time.Sleep(time.Duration(k/3) * 2 * time.Millisecond)
					ok := false
					if k%4 == 3 {
						s := c.submit(k%3, m)
						ok = s == 200
						if s == 201 || s == 404 {
							t.Errorf("repeated submission of %s: %d", id, s)
						}
					} else {
						s := c.status(k%3, id)
						ok = s != "503"
						if s == "404" {
							t.Errorf("%s is unknown", id)
						}
					}
					mu.Lock()
					defer mu.Unlock()
					if ok {
						answered++
					}
				}()
			}
		}
		for i := range 30 {
			id := jobID(i)
			m := submission(id, job.Array, 1, 2)
			c.accept(10*time.Second, i%3, m)
			look(id, m)
			if i%3 == 0 {
				if i%6 == 0 {
					time.Sleep(time.Second)
				}
				c.until("cancelled or done", 10*time.Second, func() bool { return c.ask((i+1)%3, "POST", "/v1/jobs/"+id+"/abort", nil).Status == 200 })
				look(id, m)
				continue
			}
			if i%3 == 1 {
				c.until("done", time.Minute, c.done(id))
				look(id, m)
			}
		}
		wg.Wait()
		if answered < 400 {
			t.Errorf("only %d looks were answered", answered)
		}
	})
}
