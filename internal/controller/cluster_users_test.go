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

// told keeps what users were told of each job.
type told struct {
	mu      sync.Mutex
	last    map[string]string // status by job
	referee *fake.InvariantChecker
}

func (w *told) known(id string) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.last[id]
}

// stage orders what may be told of a job: unknown, then unfinished, then its end.
func stage(status string) int {
	switch status {
	case "":
		return 0
	case jobstore.StatusDone, jobstore.StatusCancelled:
		return 2
	}
	return 1
}

// take notes an answer about a job and says what is wrong with it, given what was known
// before the question was sent.
func (w *told) take(id, was string, resp wire.Response) string {
	var st struct {
		Status string `cbor:"status"`
	}
	if resp.Status != 404 && (resp.Status != 200 && resp.Status != 201 || wire.Unmarshal(resp.Body, &st) != nil || st.Status == "") {
		return ""
	}
	if st.Status == jobstore.StatusCancelled {
		w.referee.CancellationConfirmed(id)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	last := w.last[id]
	switch {
	case stage(st.Status) < stage(was):
		return fmt.Sprintf("%q, was %q", st.Status, was)
	case stage(last) == 2 && stage(st.Status) == 2 && st.Status != last:
		return fmt.Sprintf("%q, was %q", st.Status, last)
	case stage(st.Status) >= stage(last):
		w.last[id] = st.Status
	}
	return ""
}

// jobID returns the id of the i-th job.
func jobID(i int) string { return fmt.Sprintf("wk-%06d", i) }

func submission(id string, shape job.Shape, tasks int, seconds float64) map[string]any {
	return map[string]any{"uid": id, "lane": "class", "crew": "crew", "shape": string(shape), "rank": "standard",
		"tickets": tasks, "cpus": 1.0, "gpus": 0.0, "ram_gb": 2.0, "bundle": "img", "image_gb": 1.0,
		"same_place": false, "apart": false, "loaners": false, "expect_s": seconds, "stash_every_s": 0.0, "stash_s": 0.0}
}

func (c *cluster) submit(node int, m map[string]any) int {
	body := wire.Marshal(m)
	if s, err := job.Decode(body); err == nil {
		c.referee.AddJob(s)
	}
	return c.ask(node, "POST", "/v1/jobs", body).Status
}

// accept submits a job, ever again, until it is accepted.
func (c *cluster) accept(limit time.Duration, node int, m map[string]any) {
	c.t.Helper()
	c.until("submission taken", limit, func() bool {
		s := c.submit(node, m)
		return s == 201 || s == 200
	})
}

// abort cancels a job.
func (c *cluster) abort(node int, id string) {
	c.t.Helper()
	if s := c.ask(node, "POST", "/v1/jobs/"+id+"/abort", nil).Status; s != 200 {
		c.t.Fatalf("abort: %d", s)
	}
}

func (c *cluster) status(node int, id string) string {
	var st struct {
		Status string `cbor:"status"`
	}
	resp := c.ask(node, "GET", "/v1/jobs/"+id, nil)
	if resp.Status != 200 || wire.Unmarshal(resp.Body, &st) != nil {
		return fmt.Sprint(resp.Status)
	}
	return st.Status
}

func (c *cluster) done(id string) func() bool {
	return func() bool { return c.status(2, id) == jobstore.StatusDone }
}

// serves tells whether a controller takes requests.
func (c *cluster) serves(i int) bool { return c.ask(i, "GET", "/ready", nil).Status == 200 }

// ask sends a user's request. No answer about a job may be older than one that was there
// when the question was sent, whichever node gives it.
func (c *cluster) ask(node int, method, path string, body []byte) wire.Response {
	id, _, _ := strings.Cut(strings.TrimPrefix(path, "/v1/jobs/"), "/")
	if path == "/v1/jobs" {
		id, _ = job.DecodeID(body)
	}
	known := c.told.known(id)
	resp := c.send(node, method, path, body)
	if fault := c.told.take(id, known, resp); fault != "" {
		c.t.Errorf("node %d, %s %s: %s", node, method, path, fault)
	}
	return resp
}

func (c *cluster) send(node int, method, path string, body []byte) wire.Response {
	cl := wire.Client{Dial: c.net.Dial(fmt.Sprintf("user-%d", c.client.Add(1))), Addr: nodeAddr(node)}
	defer cl.CloseIdle()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	resp, err := cl.Do(ctx, method, path, body)
	if err != nil {
		return wire.Response{}
	}
	return resp
}

// runService submits the service wk-000001 and waits until all its replicas run.
func (c *cluster) runService(replicas int) {
	c.t.Helper()
	c.submit(0, submission("wk-000001", job.Service, replicas, 0))
	c.until("service runs", time.Minute, func() bool { return c.referee.RunningTasks() == replicas })
}
