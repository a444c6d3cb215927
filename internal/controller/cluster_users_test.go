package controller

// Users of a test cluster: they submit, query and cancel jobs, and no answer that they get may
// contradict an earlier one.

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"tulipshelf/internal/fake"
	"tulipshelf/internal/job"
	"tulipshelf/internal/jobstore"
	"tulipshelf/internal/wire"
)

// answerLog keeps the last status of each job in users' answers.
type answerLog struct {
	invariants *fake.InvariantChecker

	mu         sync.Mutex        // guards lastStatus
	lastStatus map[string]string // by job
}

// of returns the last status of a job in users' answers; "" if there was none.
func (a *answerLog) of(id string) string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.lastStatus[id]
}

// progress orders the statuses of a job: none may be followed by one of lower progress.
type progress int

const (
	unknownJob progress = iota
	unfinished
	final
)

func progressOf(status string) progress {
	switch status {
	case "":
		return unknownJob
	case jobstore.StatusDone, jobstore.StatusCancelled:
		return final
	}
	return unfinished
}

// statusBody is the part of an answer about a job that tests read.
type statusBody struct {
	Status string `cbor:"status"`
}

// record notes an answer about a job. It returns what is wrong with it, given the status that was
// known before the request was sent, or "".
func (a *answerLog) record(id, knownBefore string, resp wire.Response) string {
	var body statusBody
	accepted := resp.Status == wire.StatusOK || resp.Status == wire.StatusCreated
	if resp.Status != wire.StatusNotFound && (!accepted || wire.Unmarshal(resp.Body, &body) != nil || body.Status == "") {
		return "" // nothing about the job
	}
	status := body.Status
	if status == jobstore.StatusCancelled {
		a.invariants.CancellationConfirmed(id)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	last := a.lastStatus[id]
	switch {
	case progressOf(status) < progressOf(knownBefore):
		return fmt.Sprintf("%q, was %q", status, knownBefore)
	case progressOf(last) == final && progressOf(status) == final && status != last:
		return fmt.Sprintf("%q, was %q", status, last)
	case progressOf(status) >= progressOf(last):
		a.lastStatus[id] = status
	}
	return ""
}

// request sends a user's request to a controller and returns the response; status 0: none. An
// answer about a job may not be older than one that was there when the request was sent, whichever
// controllers give them.
func (c *cluster) request(node int, method, path string, body []byte) wire.Response {
	id, _, _ := strings.Cut(strings.TrimPrefix(path, "/v1/jobs/"), "/")
	if path == "/v1/jobs" {
		id, _ = job.DecodeID(body)
	}
	knownBefore := c.answers.of(id)
	resp := c.requestUnchecked(node, method, path, body)
	if fault := c.answers.record(id, knownBefore, resp); fault != "" {
		c.t.Errorf("node %d, %s %s: %s", node, method, path, fault)
	}
	return resp
}

// requestUnchecked sends a request from a host of its own, without a look at what is answered.
func (c *cluster) requestUnchecked(node int, method, path string, body []byte) wire.Response {
	client := wire.Client{Dial: c.network.Dial(fmt.Sprintf("%s-%d", userPrefix, c.users.Add(1))), Addr: nodeAddr(node)}
	defer client.CloseIdle()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	resp, err := client.Do(ctx, method, path, body)
	if err != nil {
		return wire.Response{}
	}
	return resp
}

// heartbeat sends an agent's heartbeat to a controller and returns the status of the response.
func (c *cluster) heartbeat(node int, body []byte) int {
	return c.request(node, wire.MethodPost, heartbeatPath, body).Status
}

// submit submits a job and returns the status of the response.
func (c *cluster) submit(node int, r jobRequest) int {
	body := wire.Marshal(r)
	if spec, err := job.Decode(body); err == nil {
		c.invariants.AddJob(spec)
	}
	return c.request(node, wire.MethodPost, "/v1/jobs", body).Status
}

// submitUntilAccepted repeats a submission until it is accepted.
func (c *cluster) submitUntilAccepted(limit time.Duration, node int, r jobRequest) {
	c.t.Helper()
	c.waitUntil("submission accepted", limit, func() bool {
		status := c.submit(node, r)
		return status == wire.StatusCreated || status == wire.StatusOK
	})
}

// requestCancel asks a controller to cancel a job and returns the response.
func (c *cluster) requestCancel(node int, id string) wire.Response {
	return c.request(node, wire.MethodPost, "/v1/jobs/"+id+"/abort", nil)
}

// cancel cancels a job, which a controller has to confirm at once.
func (c *cluster) cancel(node int, id string) {
	c.t.Helper()
	if status := c.requestCancel(node, id).Status; status != wire.StatusOK {
		c.t.Fatalf("cancellation of %s: %d", id, status)
	}
}

// cancelUntilConfirmed repeats a cancellation until a controller confirms it, or that the job is
// done.
func (c *cluster) cancelUntilConfirmed(limit time.Duration, node int, id string) {
	c.t.Helper()
	c.waitUntil(id+" cancelled or done", limit, func() bool { return c.requestCancel(node, id).Status == wire.StatusOK })
}

// status returns a job's status, or the status code of the response if that is not 200.
func (c *cluster) status(node int, id string) string {
	var body statusBody
	resp := c.request(node, wire.MethodGet, "/v1/jobs/"+id, nil)
	if resp.Status != wire.StatusOK || wire.Unmarshal(resp.Body, &body) != nil {
		return fmt.Sprint(resp.Status)
	}
	return body.Status
}

// isDone returns a condition for waitUntil: the job is done.
func (c *cluster) isDone(id string) func() bool {
	return func() bool { return c.status(2, id) == jobstore.StatusDone }
}

// isReady reports whether a controller takes requests.
func (c *cluster) isReady(node int) bool {
	return c.request(node, wire.MethodGet, "/ready", nil).Status == wire.StatusOK
}

// runService submits the service wk-000001 and waits until all its replicas run.
func (c *cluster) runService(replicas int) {
	c.t.Helper()
	c.submit(0, newJob("wk-000001", job.Service, replicas, 0))
	c.waitUntil("service runs", time.Minute, func() bool { return c.invariants.RunningTasks() == replicas })
}
