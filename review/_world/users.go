package main

// The stand-ins of users, by PROTOCOL-tulipshelf.md "Users -> controller nodes".

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
)

type Job struct {
	UID         string   `cbor:"uid"`
	Lane        string   `cbor:"lane"`
	Crew        string   `cbor:"crew"`
	Shape       string   `cbor:"shape"`
	Rank        string   `cbor:"rank"`
	Tickets     int      `cbor:"tickets"`
	CPUs        float64  `cbor:"cpus"`
	GPUs        float64  `cbor:"gpus"`
	RAM         float64  `cbor:"ram_gb"`
	Bundle      string   `cbor:"bundle"`
	ImageGB     float64  `cbor:"image_gb"`
	Builds      []string `cbor:"builds"`
	Depot       *string  `cbor:"depot"`
	SamePlace   bool     `cbor:"same_place"`
	Apart       bool     `cbor:"apart"`
	Loaners     bool     `cbor:"loaners"`
	ExpectS     float64  `cbor:"expect_s"`
	StashEveryS float64  `cbor:"stash_every_s"`
	StashS      float64  `cbor:"stash_s"`
	DueS        *float64 `cbor:"due_s"`

	runS float64

	mu       sync.Mutex
	accepted bool
	aborting bool      // its user has asked to cancel it
	final    string    // the final state that a user was told
	lastOK   time.Time // last answer other than a failure
	doneAt   time.Time
}

type Users struct {
	w      *World
	mu     sync.Mutex
	jobs   map[string]*Job
	next   int
	client *http.Client
	stats  map[string]int
}

func newUsers(w *World) *Users {
	return &Users{w: w, jobs: map[string]*Job{}, next: 412, stats: map[string]int{},
		client: &http.Client{Transport: &http.Transport{DialContext: (&net.Dialer{Timeout: 500 * time.Millisecond}).DialContext, MaxIdleConnsPerHost: 8, IdleConnTimeout: 20 * time.Second}}}
}

func (u *Users) spec(id string) *Job { u.mu.Lock(); defer u.mu.Unlock(); return u.jobs[id] }

func (u *Users) count(name string) { u.mu.Lock(); u.stats[name]++; u.mu.Unlock() }

// add makes a job known to the workers, as if its user had uploaded it.
func (u *Users) add(change func(*Job)) *Job {
	u.mu.Lock()
	defer u.mu.Unlock()
	j := &Job{UID: fmt.Sprintf("wk-%06d", u.next), Lane: "menu-sync", Crew: "kitchen-ops", Shape: "array", Rank: "standard", Tickets: 1, CPUs: 1,
		RAM: 2, Bundle: "img-01", ImageGB: 1, ExpectS: 10, runS: 10}
	u.next++
	change(j)
	u.jobs[j.UID] = j
	return j
}

type answer struct {
	UID     string `cbor:"uid"`
	Status  string `cbor:"status"`
	Done    int    `cbor:"done"`
	Running int    `cbor:"running"`
}

func (u *Users) call(node int, method, path string, body any, timeout time.Duration) (int, answer) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	var payload []byte
	if body != nil {
		payload, _ = cbor.Marshal(body)
	}
	req, _ := http.NewRequestWithContext(ctx, method, "http://"+u.w.nodes[node].public+path, bytes.NewReader(payload))
	resp, err := u.client.Do(req)
	if err != nil {
		return 0, answer{}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, answer{}
	}
	var a answer
	cbor.Unmarshal(data, &a)
	return resp.StatusCode, a
}

func (u *Users) anyNode() int { return rand.IntN(len(u.w.nodes)) }

// submit submits a job until it is accepted or 60 s have passed.
func (u *Users) submit(j *Job) bool {
	begin := time.Now()
	for time.Since(begin) < 60*time.Second && !u.w.over() {
		node := u.anyNode()
		status, a := u.call(node, "POST", "/v1/jobs", j, 5*time.Second)
		switch status {
		case 200, 201:
			j.mu.Lock()
			j.accepted, j.lastOK = true, time.Now()
			j.mu.Unlock()
			u.count("accepted")
			u.w.logf("user: %s accepted by shelf-%d: %d %s", j.UID, node, status, a.Status)
			return true
		case 400, 422:
			u.w.logf("user: %s refused by shelf-%d: %d", j.UID, node, status)
			j.mu.Lock()
			was := j.accepted
			j.mu.Unlock()
			if was {
				u.w.rules.report("forgotten", "a repeated submission of %s gets %d", j.UID, status)
			}
			return false
		}
		u.count("submit failed")
		time.Sleep(time.Second)
	}
	return false
}

// poll asks one node about a job and checks the answer.
func (u *Users) poll(j *Job, node int) (int, answer) {
	j.mu.Lock()
	accepted, finalBefore := j.accepted, j.final
	j.mu.Unlock()
	status, a := u.call(node, "GET", "/v1/jobs/"+j.UID, nil, 2*time.Second)
	j.mu.Lock()
	defer j.mu.Unlock()
	u.judge(j, node, "poll", status, a, accepted, finalBefore)
	return status, a
}

// judge checks an answer to a poll or a repeated submission. accepted and finalBefore are what the user
// knew before the request was sent. The caller holds j.mu.
func (u *Users) judge(j *Job, node int, what string, status int, a answer, accepted bool, finalBefore string) {
	switch status {
	case 404:
		if accepted {
			u.w.rules.report("forgotten", "%s: 404 from shelf-%d for an accepted job (%s)", j.UID, node, what)
		}
	case 200, 201:
		j.lastOK = time.Now()
		if a.UID != j.UID {
			u.w.rules.report("foreign", "%s: answer about %s", j.UID, a.UID)
		}
		if finalBefore != "" && a.Status != finalBefore {
			u.w.rules.report("went_back", "%s was called %s, now %s by shelf-%d (%s)", j.UID, finalBefore, a.Status, node, what)
		}
		if a.Status == "withdrawn" && !j.aborting {
			u.w.rules.report("went_back", "%s is called cancelled, which its user did not ask", j.UID)
		}
		if a.Status == "done" && u.w.rules.doneTasks(j.UID) < j.Tickets {
			u.w.rules.report("not_done", "%s is called done with %d of %d tasks done", j.UID, u.w.rules.doneTasks(j.UID), j.Tickets)
		}
		if a.Status == "done" || a.Status == "withdrawn" {
			if j.final == "" {
				u.w.logf("user: %s is %s, says shelf-%d", j.UID, a.Status, node)
			}
			j.final = a.Status
			if a.Status == "withdrawn" {
				u.w.rules.toldCancelled(j.UID)
			}
		}
	default:
		u.count(fmt.Sprintf("%s %d", what, status))
	}
}

// abort cancels a job until it gets an answer.
func (u *Users) abort(j *Job, limit time.Duration) string {
	j.mu.Lock()
	j.aborting = true
	j.mu.Unlock()
	begin := time.Now()
	for time.Since(begin) < limit && !u.w.over() {
		node := u.anyNode()
		if s := u.abortAt(j, node); s != "" {
			return s
		}
		time.Sleep(time.Second)
	}
	return ""
}

func (u *Users) abortAt(j *Job, node int) string {
	j.mu.Lock()
	j.aborting = true
	finalBefore := j.final
	j.mu.Unlock()
	status, a := u.call(node, "POST", "/v1/jobs/"+j.UID+"/abort", nil, 5*time.Second)
	j.mu.Lock()
	defer j.mu.Unlock()
	if status == 200 {
		u.w.logf("user: abort of %s at shelf-%d answered %s", j.UID, node, a.Status)
		u.judge(j, node, "abort", status, a, j.accepted, finalBefore)
		return a.Status
	}
	if status == 404 && j.accepted {
		u.w.rules.report("forgotten", "%s: 404 for an abort of an accepted job", j.UID)
	}
	u.count(fmt.Sprintf("abort %d", status))
	return ""
}

// look asks all nodes about a job within milliseconds, and repeats the submission.
func (u *Users) look(j *Job) {
	for range 3 {
		for node := range u.w.nodes {
			go u.poll(j, node)
		}
		go func() {
			node := u.anyNode()
			j.mu.Lock()
			accepted, finalBefore := j.accepted, j.final
			j.mu.Unlock()
			status, a := u.call(node, "POST", "/v1/jobs", j, 5*time.Second)
			j.mu.Lock()
			defer j.mu.Unlock()
			if accepted && (status == 400 || status == 422) {
				u.w.rules.report("forgotten", "a repeated submission of %s gets %d", j.UID, status)
			}
			u.judge(j, node, "resubmit", status, a, accepted, finalBefore)
		}()
		time.Sleep(15 * time.Millisecond)
	}
}

// follow submits a job and polls it until it is final. A cancelAfter above 0 cancels it then.
func (u *Users) follow(j *Job, cancelAfter time.Duration) {
	if !u.submit(j) {
		return
	}
	u.look(j)
	accepted := time.Now()
	if cancelAfter > 0 {
		go func() {
			time.Sleep(cancelAfter)
			if u.abort(j, time.Minute) != "" {
				u.look(j)
			}
		}()
	}
	for !u.w.over() {
		time.Sleep(time.Duration(800+rand.IntN(1200)) * time.Millisecond)
		j.mu.Lock()
		final := j.final
		j.mu.Unlock()
		_, a := u.poll(j, u.anyNode())
		if final == "" && a.Status == "done" {
			j.mu.Lock()
			j.doneAt = time.Now()
			j.mu.Unlock()
			u.count("done")
			u.look(j)
		}
	}
	_ = accepted
}
