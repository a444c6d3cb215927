package controller

// Users' requests: refusals of invalid ones, and timely and consistent answers.

import (
	"strings"
	"sync"
	"testing"
	"time"

	"tulipshelf/internal/job"
	"tulipshelf/internal/jobstore"
)

// Invalid bodies, fields, methods and paths are refused with the status that the users' pages give, and
// unknown fields are ignored.
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
			{"malformed ID", with("uid", "job-1"), 400},
			{"negative CPUs", with("cpus", -1.0), 400},
			{"too many tasks", with("tickets", 100_001), 400},
			{"unknown shape", with("shape", "tree"), 400},
			{"unknown priority", with("rank", "top"), 400},
			{"missing field", with("lane", nil), 400},
			{"unknown team", with("crew", "others"), 422},
			{"task larger than a machine", with("cpus", 5.0), 422},
			{"no such zone", with("depot", "z"), 422},
			{"unknown field", with("colour", "red"), 201},
		} {
			if got := c.submit(1, submission.body); got != submission.want {
				t.Errorf("%s: status %d, want %d", submission.name, got, submission.want)
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
				t.Errorf("%s %s %q: status %d, want %d", request.method, request.path, request.body, got, request.want)
			}
		}
	})
}

// Guards against one read of the store per poll, which exceeds the store's rate in large deployments.
// Concurrent polls share reads, so they take at most a quarter as many requests to the store. Answers
// are not stale either: once one controller has confirmed a cancellation, another one answers that the
// job is cancelled.
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
				t.Errorf("poll: %s, want pending or running", status)
			}
		}
		if n := c.store.Requests() - before; n > jobs/4 {
			t.Errorf("%d concurrent polls took %d requests to the store, want at most %d", jobs, n, jobs/4)
		}
		for i := range 20 {
			if status := c.requestCancel(i%controllers, jobID(i)).Status; status != 200 {
				t.Errorf("cancellation of %s: status %d, want 200", jobID(i), status)
			}
			if status := c.status((i+1)%controllers, jobID(i)); status != jobstore.StatusCancelled {
				t.Errorf("another controller answers %s for %s after the cancellation was confirmed, want %s", status, jobID(i), jobstore.StatusCancelled)
			}
		}
	})
}

// Guards against an overload of polls that delays other requests: for a minute polls arrive at many
// times the usual rate, half of them about jobs that were never submitted. Submissions are still
// accepted at once, queries about unfinished jobs are answered, and a job that was queried before
// its submission is known after it.
func TestSubmissionsAcceptedUnderPollLoad(t *testing.T) {
	simulate(t, func(c *cluster) {
		c.storeLimits.RPS = 60
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
						t.Errorf("query of a job that was never submitted: %s, want 404 or 503", status)
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
				t.Errorf("query of %s before its submission: %s, want 404 or 503", id, status)
			}
			if status := c.submit(i%controllers, newJob(id, job.Array, 1, 2)); status != 201 {
				t.Errorf("submission of %s under load: status %d, want 201", id, status)
			}
			if status := c.status((i+1)%controllers, id); status == "404" {
				t.Errorf("query of %s after its submission: 404, want its status", id)
			}
			time.Sleep(3 * time.Second)
		}
		mu.Lock()
		if answered < sent*9/10 {
			t.Errorf("%d of %d queries about a running job answered, want at least nine tenths", answered, sent)
		}
		mu.Unlock()
		for i := 2; i < 20; i++ {
			c.waitUntil(jobID(i)+" done", time.Minute, c.isDone(jobID(i)))
		}
	})
}

// Guards against queries that are never answered after an outage: the store allows fewer requests
// than there are queries, and the queries arrive in the same order each time. The users' rule is
// that once all faults are over, each job that is queried is answered within 75 s.
func TestAllPollsAnsweredAfterOutage(t *testing.T) {
	simulate(t, func(c *cluster) {
		c.storeLimits.RPS = 30
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
			t.Errorf("%d jobs answered within 75 s after the outage, want all %d", len(answered), jobs)
		}
	})
}

// Guards against answers that are older than earlier ones: users query all controllers several times
// within milliseconds, and repeat the submission, right after a job was accepted, has ended or was
// confirmed as cancelled. Some jobs are cancelled right after their acceptance.
func TestReadsAreConsistentAfterWrites(t *testing.T) {
	simulate(t, func(c *cluster) {
		c.storeLimits.RPS = 400
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
				c.waitUntil(id+" done", time.Minute, c.isDone(id))
				readers.read(id, request)
			}
		}
		readers.running.Wait()
		if readers.answered < 400 {
			t.Errorf("%d requests answered, want at least 400", readers.answered)
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

// read has 12 users send one request each within 6 ms, and does not wait for the responses. One user
// in four repeats the submission, the others query the job. No response may say that the job is unknown
// or, as status 201 does, that it has just been created.
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
					r.t.Errorf("repeated submission of %s: status %d, want neither 201 nor 404", id, status)
				}
			} else {
				status := r.c.status(user%controllers, id)
				ok = status != "503"
				if status == "404" {
					r.t.Errorf("query of the accepted job %s: 404, want its status", id)
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
