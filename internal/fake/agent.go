package fake

import (
	"context"
	"sort"
	"sync"
	"time"

	"tulipshelf/internal/agent"
	"tulipshelf/internal/clock"
	"tulipshelf/internal/job"
	"tulipshelf/internal/wire"
)

// FailingClass is the class of jobs that fail on every machine.
const FailingClass = "mistaken"

// Agent is one machine.
type Agent struct {
	Name, Addr, Zone string

	cloud  *Cloud
	rented time.Time
	ctx    context.Context
	halt   context.CancelFunc

	mu      sync.Mutex
	up      bool
	session uint64
	tick    uint64
	token   uint64
	leaseAt time.Time // when the last answered report was sent
	tasks   map[job.AttemptID]*task
	more    chan struct{}
	hung    bool
	deaf    bool // reports leave, but nothing reaches it
	sick    bool
	notice  time.Time // when the cloud takes the machine; zero: no notice
}

type task struct {
	status agent.TaskStatus
	cause  agent.ExitCause
	stop   *time.Timer

	// Of a gang, to tell the others: that it is halted or killed, that its machine hangs.
	left func(halt bool, windDown float64)
	hung func(hung bool)
}

func newWorker(c *Cloud, name, zone string) *Agent {
	ctx, halt := context.WithCancel(context.Background())
	return &Agent{Name: name, Addr: "10.1.0.1:" + name, Zone: zone, cloud: c, rented: time.Now(), ctx: ctx, halt: halt,
		session: 1, tasks: map[job.AttemptID]*task{}, more: make(chan struct{}, 1)}
}

// Up tells whether the worker has booted.
func (w *Agent) Up() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.up
}

// Hang stops or resumes the worker; its services stay where they are.
func (w *Agent) Hang(hung bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.hung = hung
	for _, t := range w.tasks {
		if t.hung != nil && t.status != agent.StatusExited {
			t.hung(hung)
		}
	}
}

// DropIncoming lets reports leave the worker while nothing reaches it.
func (w *Agent) DropIncoming(deaf bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.deaf = deaf
}

// CurrentHeartbeat returns a copy of what the worker would report now, to be delivered late.
func (w *Agent) CurrentHeartbeat() []byte {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.snapshot()
}

// Restart ends all tasks, as a machine that is back at once does, and begins a new
// session.
func (w *Agent) Restart() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.kill()
	w.session++
	w.leaseAt = time.Now()
	w.changed()
}

// FailTasks makes every task that starts on the worker fail.
func (w *Agent) FailTasks() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sick = true
}

// TerminateIn announces that the cloud takes the machine after d.
func (w *Agent) TerminateIn(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.notice = time.Now().Add(d)
}

// Has tells whether a task of a job is on the worker.
func (w *Agent) Has(id string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for k, t := range w.tasks {
		if of, _, _ := job.ParseTaskName(k.Task); of == id && t.status != agent.StatusExited {
			return true
		}
	}
	return false
}

// Tasks returns how many tasks are on the worker.
func (w *Agent) Tasks() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for _, t := range w.tasks {
		if t.status != agent.StatusExited {
			n++
		}
	}
	return n
}

func (w *Agent) hanging() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.hung
}

// Token returns the highest token seen.
func (w *Agent) Token() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.token
}

func (w *Agent) stop() {
	w.halt()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.kill()
}

func (w *Agent) kill() {
	for k, t := range w.tasks {
		if t.status != agent.StatusExited {
			t.stop.Stop()
			if t.left != nil {
				t.left(false, 0)
			}
			w.cloud.referee.end(k.Task, w.Name, false)
		}
	}
	clear(w.tasks)
}

func (w *Agent) run(boot time.Duration) {
	if !clock.Sleep(w.ctx, boot) {
		return
	}
	w.mu.Lock()
	w.up = true
	w.leaseAt = time.Now()
	w.mu.Unlock()
	go w.cloud.net.Serve(w.ctx, w.Addr, w.handle)
	node := 0
	for w.ctx.Err() == nil {
		if w.hanging() {
			clock.Sleep(w.ctx, 100*time.Millisecond)
			continue
		}
		w.expire()
		sent := time.Now()
		status, body := w.report(w.cloud.nodes[node])
		switch {
		case status == 200:
			w.take(body, sent)
			select {
			case <-w.more:
				clock.Sleep(w.ctx, 500*time.Millisecond)
			case <-time.After(3 * time.Second):
			case <-w.ctx.Done():
			}
			continue
		case status == 421:
			var to struct {
				Foreman string `cbor:"foreman"`
			}
			if wire.Unmarshal(body, &to) == nil {
				for i, name := range w.cloud.names {
					if name == to.Foreman && i != node {
						node = i
						status = 0
					}
				}
			}
		}
		if status == 0 {
			continue
		}
		clock.Sleep(w.ctx, time.Second)
		node = (node + 1) % len(w.cloud.nodes)
	}
}

// expire kills all tasks once the lease is over.
func (w *Agent) expire() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if time.Since(w.leaseAt) > w.cloud.lease {
		w.kill()
		w.session++
		w.leaseAt = time.Now()
	}
}

func (w *Agent) snapshot() []byte {
	w.tick++
	r := agent.Heartbeat{Machine: w.Name, Addr: w.Addr, Type: w.cloud.Type.Name, Zone: w.Zone, Incarnation: w.session, Sequence: w.tick, FencingToken: w.token}
	if !w.notice.IsZero() {
		left := time.Until(w.notice).Seconds()
		r.TerminationNoticeS = &left
	}
	for k, t := range w.tasks {
		r.Tasks = append(r.Tasks, agent.ReportedTask{Task: k.Task, Attempt: k.Number, Status: t.status, Cause: t.cause})
	}
	sort.Slice(r.Tasks, func(i, j int) bool { return r.Tasks[i].Task < r.Tasks[j].Task })
	return wire.Marshal(r)
}

func (w *Agent) report(addr string) (int, []byte) {
	w.mu.Lock()
	body := w.snapshot()
	w.mu.Unlock()
	ctx, cancel := context.WithTimeout(w.ctx, 4*time.Second)
	defer cancel()
	c := wire.Client{Dial: w.cloud.net.Dial(w.Addr), Addr: addr}
	defer c.CloseIdle()
	resp, err := c.Do(ctx, "POST", "/v1/report", body)
	if err != nil {
		return -1, nil
	}
	w.mu.Lock()
	deaf := w.deaf
	w.mu.Unlock()
	if deaf {
		<-ctx.Done() // the answer is never seen
		return -1, nil
	}
	return resp.Status, resp.Body
}

func (w *Agent) take(body []byte, sent time.Time) {
	var a agent.HeartbeatResponse
	w.mu.Lock()
	defer w.mu.Unlock()
	if wire.Unmarshal(body, &a) != nil || a.FencingToken < w.token {
		return
	}
	w.token = a.FencingToken
	w.leaseAt = sent
	w.execute(a.Commands)
}

func (w *Agent) handle(_ context.Context, req *wire.Request) wire.Response {
	w.mu.Lock()
	defer w.mu.Unlock()
	var c agent.CommandRequest
	if w.hung || w.deaf {
		return wire.Response{Status: drop}
	}
	if req.Path == "/status" {
		return wire.Response{Status: 200, Body: w.snapshot()}
	}
	if req.Path != "/commands" || wire.Unmarshal(req.Body, &c) != nil {
		return wire.Response{Status: 400}
	}
	if c.FencingToken < w.token || c.Incarnation != w.session {
		return wire.Response{Status: 409, Body: w.snapshot()}
	}
	w.token = c.FencingToken
	w.execute(c.Commands)
	return wire.Response{Status: 200, Body: w.snapshot()}
}

func (w *Agent) changed() {
	select {
	case w.more <- struct{}{}:
	default:
	}
}

func (w *Agent) execute(orders []agent.Command) {
	for _, o := range orders {
		k := job.AttemptID{Task: o.Task, Number: o.Attempt}
		t := w.tasks[k]
		switch {
		case o.Verb == agent.VerbRun && t == nil:
			w.tasks[k] = w.begin(k)
			w.changed()
		case o.Verb == agent.VerbHalt && t != nil && t.status != agent.StatusExited:
			if t.left != nil {
				windDown := 0.0
				if o.GracePeriodS != nil {
					windDown = *o.GracePeriodS
				}
				if t.left(true, windDown); t.status == agent.StatusCheckpointing && windDown > 0 {
					w.changed()
					continue
				}
			}
			t.stop.Stop()
			t.status, t.cause = agent.StatusExited, agent.CauseStopped
			w.cloud.referee.end(k.Task, w.Name, false)
			w.changed()
		case o.Verb == agent.VerbForget && t != nil && t.status == agent.StatusExited:
			delete(w.tasks, k)
		}
	}
}

func (w *Agent) begin(k job.AttemptID) *task {
	for other, t := range w.tasks {
		if other.Task == k.Task && t.status != agent.StatusExited {
			return &task{status: agent.StatusExited, cause: agent.CauseInUse}
		}
	}
	s, known := w.cloud.referee.start(k.Task, place{w.Name, w.Zone, k.Number})
	if !known {
		return &task{status: agent.StatusExited, cause: agent.CauseUnknownJob}
	}
	if w.sick || s.Class == FailingClass {
		w.cloud.referee.end(k.Task, w.Name, false)
		w.changed()
		return &task{status: agent.StatusExited, cause: agent.CauseError}
	}
	if s.Shape == job.Gang {
		t := &task{status: agent.StatusWaiting}
		w.cloud.Gangs.join(s, w, k, t)
		return t
	}
	run := time.Duration(s.ExpectS * float64(time.Second))
	if s.Shape == job.Service {
		run = 1000 * time.Hour
	}
	t := &task{status: agent.StatusRunning}
	t.stop = time.AfterFunc(run, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if t.status == agent.StatusRunning {
			t.status, t.cause = agent.StatusExited, agent.CauseDone
			w.cloud.referee.end(k.Task, w.Name, true)
			w.changed()
		}
	})
	return t
}
