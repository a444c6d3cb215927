package controller

// Users' requests: what is refused, and that answers come in time and stay consistent.

import (
	"strings"
	"sync"
	"testing"
	"time"

	"tulipshelf/internal/job"
	"tulipshelf/internal/jobstore"
)

// Invalid bodies, fields and methods are refused with the status that the users' pages give; unknown
// fields are ignored.
func TestInvalidRequestsAreRefused(t *testing.T) {
	simulate(t, func(c *cluster) {
		c.waitForElection()
		with := func(field string, value any) jobRequest {
			return newJob("wk-000009", job.Array, 2, 5).with(field, value)
		}
		for _, submission := range []struct {
			name string
			body jobRequest
			want int
		}{
			{"bad id", with("uid", "job-1"), 400},
			{"negative", with("cpus", -1.0), 400},
			{"too many tasks", with("tickets", 100_001), 400},
			{"unknown shape", with("shape", "tree"), 400},
			{"unknown rank", with("rank", "top"), 400},
			{"missing field", with("lane", nil), 400},
			{"unknown team", with("crew", "others"), 422},
			{"too large", with("cpus", 5.0), 422},
			{"no such zone", with("depot", "z"), 422},
			{"unknown field", with("colour", "red"), 201},
		} {
			if got := c.submit(1, submission.body); got != submission.want {
				t.Errorf("%s: %d, want %d", submission.name, got, submission.want)
			}
		}
		for _, request := range []struct {
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
			if got := c.request(1, request.method, request.path, []byte(request.body)).Status; got != request.want {
				t.Errorf("%s %s %q: %d, want %d", request.method, request.path, request.body, got, request.want)
			}
		}
	})
}

// Concurrent polls are confirmed by one read of the store, as one read a poll exceeds the store's rate
// in large deployments. What another controller has answered is never followed by an older status.
func TestConcurrentPollsShareStoreReads(t *testing.T) {
	simulate(t, func(c *cluster) {
		c.waitForElection()
		const jobs = 60
		for i := range jobs {
			c.submitUntilAccepted(10*time.Second, i%controllers, newJob(jobID(i), job.Service, 1, 0))
		}
		time.Sleep(30 * time.Second)
		before := c.store.Requests()
		answers := make(chan string, jobs)
		for i := range jobs {
			go func() { answers <- c.status(1, jobID(i)) }()
		}
		for range jobs {
			if status := <-answers; status != "pending" && status != "running" {
				t.Errorf("poll: %s", status)
			}
		}
		if n := c.store.Requests() - before; n > jobs/4 {
			t.Errorf("%d concurrent polls took %d requests", jobs, n)
		}
		for i := range 20 {
			if status := c.requestCancel(i%controllers, jobID(i)).Status; status != 200 {
				t.Errorf("cancellation: %d", status)
			}
			if status := c.status((i+1)%controllers, jobID(i)); status != jobstore.StatusCancelled {
				t.Errorf("another controller answers %s after the cancellation was confirmed", status)
			}
		}
	})
}

// Polls come many times as often as usual for a while, most of them about jobs that nobody has
// submitted or that have ended: submissions are still accepted at once, queries about unfinished jobs
// are answered, and a job that was queried before its submission is known afterwards.
func TestSubmissionsAcceptedUnderPollLoad(t *testing.T) {
	simulate(t, func(c *cluster) {
		c.storeRPS = 60
		c.restartEach()
		c.waitForElection()
		c.runService(4)
		var mu sync.Mutex
		answered, sent := 0, 0 // queries about a running job; guarded by mu
		end := time.Now().Add(time.Minute)
		for user := range 40 { // two queries a second each
			go func() {
				for i := 0; time.Now().Before(end); i++ {
					status := c.status(user%controllers, jobID(500+(user*37+i)%400))
					if status != "404" && status != "503" {
						t.Errorf("a job that nobody submitted is %s", status)
					}
					status = c.status(user%controllers, "wk-000001")
					mu.Lock()
					if status == "running" {
						answered++
					}
					sent++
					mu.Unlock()
					time.Sleep(time.Second)
				}
			}()
		}
		for i := 2; i < 20; i++ {
			id := jobID(i)
			if status := c.status(0, id); status != "404" && status != "503" {
				t.Errorf("%s before its submission: %s", id, status)
			}
			if status := c.submit(i%controllers, newJob(id, job.Array, 1, 2)); status != 201 {
				t.Errorf("submission under load: %d", status)
			}
			if status := c.status((i+1)%controllers, id); status == "404" {
				t.Errorf("%s unknown after its submission", id)
			}
			time.Sleep(3 * time.Second)
		}
		mu.Lock()
		if answered < sent*9/10 {
			t.Errorf("%d of %d queries about a running job answered", answered, sent)
		}
		mu.Unlock()
		for i := 2; i < 20; i++ {
			c.waitUntil("array done", time.Minute, c.isDone(jobID(i)))
		}
	})
}

// The users' rule: once all faults are over, each job that is queried is answered within 75 s. The store
// allows fewer requests than there are queries, which come in the same order each time.
func TestAllPollsAnsweredAfterOutage(t *testing.T) {
	simulate(t, func(c *cluster) {
		c.storeRPS = 30
		c.restartEach()
		c.waitForElection()
		const jobs = 150
		for i := range jobs {
			c.submitUntilAccepted(time.Minute, i%controllers, newJob(jobID(i), job.Service, 1, 0))
		}
		c.beginStoreOutage()
		c.restartEach()
		time.Sleep(30 * time.Second)
		c.endStoreOutage()
		var mu sync.Mutex
		answered := map[string]bool{}
		for end := time.Now().Add(75 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Second) {
			for i := range jobs {
				go func() {
					if status := c.status(1, jobID(i)); status == "pending" || status == "running" {
						mu.Lock()
						defer mu.Unlock()
						answered[jobID(i)] = true
					}
				}()
				time.Sleep(time.Millisecond)
			}
		}
		mu.Lock()
		defer mu.Unlock()
		if len(answered) != jobs {
			t.Errorf("%d of %d jobs were answered", len(answered), jobs)
		}
	})
}

// Users query all controllers, again and again within milliseconds, and repeat the submission, right
// after a job was accepted, has ended or was confirmed as cancelled; some cancel at once.
func TestReadsAreConsistentAfterWrites(t *testing.T) {
	simulate(t, func(c *cluster) {
		c.storeRPS = 400
		c.restartEach()
		c.waitForElection()
		readers := &consistentReaders{t: t, c: c}
		for i := range 30 {
			id := jobID(i)
			request := newJob(id, job.Array, 1, 2)
			c.submitUntilAccepted(10*time.Second, i%controllers, request)
			readers.read(id, request)
			if i%3 == 0 {
				if i%6 == 0 {
					time.Sleep(time.Second)
				}
				c.cancelUntilConfirmed(10*time.Second, (i+1)%controllers, id)
				readers.read(id, request)
				continue
			}
			if i%3 == 1 {
				c.waitUntil("done", time.Minute, c.isDone(id))
				readers.read(id, request)
			}
		}
		readers.running.Wait()
		if readers.answered < 400 {
			t.Errorf("only %d requests were answered", readers.answered)
		}
	})
}

// consistentReaders are users who query a job that was accepted and repeat its submission.
type consistentReaders struct {
	t       *testing.T
	c       *cluster
	running sync.WaitGroup

	mu       sync.Mutex // guards answered
	answered int
}

// read lets 12 users send a request within 6 ms, without waiting for them. One in four repeats the
// submission; none may get the answer that the job is unknown.
func (r *consistentReaders) read(id string, request jobRequest) {
	for user := range 12 {
		r.running.Add(1)
		go func() {
			defer r.running.Done()
			time.Sleep(time.Duration(user/3) * 2 * time.Millisecond)
			ok := false
			if user%4 == 3 {
				status := r.c.submit(user%controllers, request)
				ok = status == 200
				if status == 201 || status == 404 {
					r.t.Errorf("repeated submission of %s: %d", id, status)
				}
			} else {
				status := r.c.status(user%controllers, id)
				ok = status != "503"
				if status == "404" {
					r.t.Errorf("%s is unknown", id)
				}
			}
			r.mu.Lock()
			defer r.mu.Unlock()
			if ok {
				r.answered++
			}
		}()
	}
}
