package controller

// Users of a test cluster: they submit, poll and cancel jobs. Each response is checked against the earlier
// ones, which it must not contradict.

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

// answerLog holds the most advanced status of each job in the responses to users. Its methods are safe for
// concurrent use.
type answerLog struct {
	invariants *fake.InvariantChecker

	mu         sync.Mutex        // guards lastStatus
	lastStatus map[string]string // by job ID
}

// of returns the most advanced status of a job in the responses so far, or "" if there was none.
func (a *answerLog) of(id string) string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.lastStatus[id]
}

// progress orders the statuses of a job. A status must not be followed by one of lower progress.
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

// statusBody is the part of a response about a job that tests read.
type statusBody struct {
	Status string `cbor:"status"`
}

// record records a response about a job. knownBefore is the most advanced status in the responses that
// were received before the request was sent. record returns a description of the fault if the response
// shows less progress than knownBefore, or another final status than an earlier response, and ""
// otherwise.
func (a *answerLog) record(id, knownBefore string, resp wire.Response) string {
	var body statusBody
	accepted := resp.Status == wire.StatusOK || resp.Status == wire.StatusCreated
	if resp.Status != wire.StatusNotFound && (!accepted || wire.Unmarshal(resp.Body, &body) != nil || body.Status == "") {
		return "" // the response says nothing about the job
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
		return fmt.Sprintf("status %q after %q", status, knownBefore)
	case progressOf(last) == final && progressOf(status) == final && status != last:
		return fmt.Sprintf("status %q after %q", status, last)
	case progressOf(status) >= progressOf(last):
		a.lastStatus[id] = status
	}
	return ""
}

// request sends a user's request to a controller and returns the response, with status 0 if there was none.
// It fails the test if the response contradicts an earlier one about the same job (see answerLog.record),
// whichever controllers sent them.
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

// requestUnchecked is request without the check of the response. Each request has a host of its own.
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

// cancel cancels a job. It ends the test unless the controller confirms the cancellation at once.
func (c *cluster) cancel(node int, id string) {
	c.t.Helper()
	if status := c.requestCancel(node, id).Status; status != wire.StatusOK {
		c.t.Fatalf("cancellation of %s: status %d, want 200", id, status)
	}
}

// cancelUntilConfirmed repeats a cancellation until the controller confirms it or responds that the job is
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

// isDone returns a condition for waitUntil that holds once controller 2 reports the job as done.
func (c *cluster) isDone(id string) func() bool {
	return func() bool { return c.status(2, id) == jobstore.StatusDone }
}

// isReady reports whether a controller reports itself as ready.
func (c *cluster) isReady(node int) bool {
	return c.request(node, wire.MethodGet, "/ready", nil).Status == wire.StatusOK
}

// runService submits the service wk-000001 and waits until all its replicas run.
func (c *cluster) runService(replicas int) {
	c.t.Helper()
	c.submit(0, newJob("wk-000001", job.Service, replicas, 0))
	c.waitUntil("service runs", time.Minute, func() bool { return c.invariants.RunningTasks() == replicas })
}
