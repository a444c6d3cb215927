package fake

// The agent on a rented machine: it sends heartbeats and holds a lease. The tasks that it runs are in
// agent_tasks.go.

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

const (
	heartbeatInterval = 3 * time.Second
	// changeReportDelay is the pause before a heartbeat that reports a task's change.
	changeReportDelay = 500 * time.Millisecond
	// heartbeatTimeout is how long an agent waits for the response.
	heartbeatTimeout = 4 * time.Second
	// retryDelay is the pause before the next controller is tried.
	retryDelay = time.Second
	// hungPollInterval is how often a hung agent looks whether it may go on.
	hungPollInterval = 100 * time.Millisecond
)

// Agent is one machine with the agent on it.
type Agent struct {
	Name, Addr, Zone string

	cloud    *Cloud
	rentedAt time.Time
	ctx      context.Context // of the machine
	cancel   context.CancelFunc

	changes chan struct{} // holds an element if a change is to be reported soon

	mu             sync.Mutex // guards all below, and the fields of tasks
	booted         bool
	incarnation    uint64
	sequence       uint64 // of heartbeats
	fencingToken   uint64 // the highest seen
	leaseRenewedAt time.Time
	terminationAt  time.Time // as announced by the cloud; zero: not announced
	tasks          map[job.AttemptID]*machineTask
	faults         AgentFaults
}

// AgentFaults are the present faults of a machine.
type AgentFaults struct {
	// Hung stops the agent: it sends nothing, answers nothing and starts nothing, while its tasks stay
	// on the machine. It stands for a frozen kernel or a machine out of memory.
	Hung bool
	// DropIncoming lets heartbeats leave the machine while no response and no command reaches it. It
	// stands for an asymmetric partition and for a broken receive path.
	DropIncoming bool
	// FailTasks makes every task that starts fail at once. It stands for a full disk or a broken
	// device.
	FailTasks bool
}

// newAgent returns the agent of a machine that has not booted.
func newAgent(c *Cloud, name, zone string) *Agent {
	ctx, cancel := context.WithCancel(context.Background())
	return &Agent{Name: name, Addr: "10.1.0.1:" + name, Zone: zone, cloud: c, rentedAt: time.Now(), ctx: ctx, cancel: cancel,
		incarnation: 1, tasks: map[job.AttemptID]*machineTask{}, changes: make(chan struct{}, 1)}
}

// terminate ends the machine with all that is on it.
func (a *Agent) terminate() {
	a.cancel()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.killTasks()
}

// SetFaults replaces all faults.
func (a *Agent) SetFaults(faults AgentFaults) {
	a.UpdateFaults(func(f *AgentFaults) { *f = faults })
}

// UpdateFaults changes some of the faults.
func (a *Agent) UpdateFaults(change func(*AgentFaults)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	wasHung := a.faults.Hung
	change(&a.faults)
	if !wasHung && !a.faults.Hung {
		return
	}
	for _, task := range a.tasks {
		if task.member != nil && task.status != agent.StatusExited {
			a.cloud.Gangs.memberHung(task.member, a.faults.Hung)
		}
	}
}

// Restart kills all tasks and begins a new incarnation, as a machine does that reboots at once.
func (a *Agent) Restart() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.beginIncarnation()
	a.signalChange()
}

// AnnounceTermination announces that the cloud takes the machine after the given time.
func (a *Agent) AnnounceTermination(after time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.terminationAt = time.Now().Add(after)
}

// Booted reports whether the machine has booted.
func (a *Agent) Booted() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.booted
}

// CurrentHeartbeat returns the body of a heartbeat that the agent would send now, for a test that
// delivers it late. It takes up a sequence number.
func (a *Agent) CurrentHeartbeat() []byte {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.nextHeartbeat()
}

// HasTasksOf reports whether a task of a job is on the machine.
func (a *Agent) HasTasksOf(jobID string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	for attempt, task := range a.tasks {
		if jobOf(attempt.Task) == jobID && task.status != agent.StatusExited {
			return true
		}
	}
	return false
}

// TaskCount returns how many tasks are on the machine.
func (a *Agent) TaskCount() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	count := 0
	for _, task := range a.tasks {
		if task.status != agent.StatusExited {
			count++
		}
	}
	return count
}

// FencingToken returns the highest fencing token that the agent has seen.
func (a *Agent) FencingToken() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.fencingToken
}

func (a *Agent) currentFaults() AgentFaults {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.faults
}

// run boots the machine and sends heartbeats until it is terminated.
func (a *Agent) run(bootTime time.Duration) {
	if !clock.Sleep(a.ctx, bootTime) {
		return
	}
	a.mu.Lock()
	a.booted = true
	a.leaseRenewedAt = time.Now()
	a.mu.Unlock()
	go a.cloud.network.Serve(a.ctx, a.Addr, a.handle)
	controller := 0
	for a.ctx.Err() == nil {
		if a.currentFaults().Hung {
			clock.Sleep(a.ctx, hungPollInterval)
			continue
		}
		a.checkLease()
		controller = a.reportTo(controller)
	}
}

// reportTo sends a heartbeat to a controller, waits until the next is due, and returns the controller
// that it goes to.
func (a *Agent) reportTo(controller int) (next int) {
	sentAt := time.Now()
	resp := a.sendHeartbeat(a.cloud.controllerAddrs[controller])
	switch resp.Status {
	case wire.StatusOK:
		a.acceptResponse(resp.Body, sentAt)
		select {
		case <-a.changes:
			clock.Sleep(a.ctx, changeReportDelay)
		case <-time.After(heartbeatInterval):
		case <-a.ctx.Done():
		}
		return controller
	case wire.StatusMisdirectedRequest:
		if leader, known := a.namedLeader(resp.Body, controller); known {
			return leader
		}
	}
	clock.Sleep(a.ctx, retryDelay)
	return (controller + 1) % len(a.cloud.controllerAddrs)
}

// namedLeader returns the controller that a refusal names as the leader, if that is another one than
// the controller that has refused.
func (a *Agent) namedLeader(body []byte, refusing int) (leader int, known bool) {
	var refusal struct {
		Leader string `cbor:"foreman"`
	}
	if wire.Unmarshal(body, &refusal) != nil {
		return 0, false
	}
	for i, name := range a.cloud.controllerNames {
		if name == refusal.Leader && i != refusing {
			return i, true
		}
	}
	return 0, false
}

// checkLease kills all tasks if the lease has expired, and begins a new incarnation.
func (a *Agent) checkLease() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if time.Since(a.leaseRenewedAt) > a.cloud.lease {
		a.beginIncarnation()
	}
}

// beginIncarnation kills all tasks and begins a new incarnation. The caller holds mu.
func (a *Agent) beginIncarnation() {
	a.killTasks()
	a.incarnation++
	a.leaseRenewedAt = time.Now()
}

// nextHeartbeat returns the body of the next heartbeat, with a sequence number of its own. The caller holds mu.
func (a *Agent) nextHeartbeat() []byte {
	a.sequence++
	heartbeat := agent.Heartbeat{Machine: a.Name, Addr: a.Addr, Type: a.cloud.Type.Name, Zone: a.Zone,
		Incarnation: a.incarnation, Sequence: a.sequence, FencingToken: a.fencingToken}
	if !a.terminationAt.IsZero() {
		left := time.Until(a.terminationAt).Seconds()
		heartbeat.TerminationNoticeS = &left
	}
	for attempt, task := range a.tasks {
		heartbeat.Tasks = append(heartbeat.Tasks, agent.ReportedTask{Task: attempt.Task, Attempt: attempt.Number, Status: task.status, Cause: task.cause})
	}
	sort.Slice(heartbeat.Tasks, func(i, j int) bool { return heartbeat.Tasks[i].Task < heartbeat.Tasks[j].Task })
	return wire.Marshal(heartbeat)
}

// sendHeartbeat sends a heartbeat to a controller and returns its response; status 0: none.
func (a *Agent) sendHeartbeat(addr string) wire.Response {
	a.mu.Lock()
	body := a.nextHeartbeat()
	a.mu.Unlock()
	ctx, cancel := context.WithTimeout(a.ctx, heartbeatTimeout)
	defer cancel()
	client := wire.Client{Dial: a.cloud.network.Dial(a.Addr), Addr: addr}
	defer client.CloseIdle()
	resp, err := client.Do(ctx, wire.MethodPost, "/v1/report", body)
	if err != nil {
		return wire.Response{}
	}
	if a.currentFaults().DropIncoming {
		<-ctx.Done()
		return wire.Response{}
	}
	return resp
}

// acceptResponse renews the lease from when the heartbeat was sent and carries out the commands, unless
// the response is from a leader of an earlier term.
func (a *Agent) acceptResponse(body []byte, sentAt time.Time) {
	var resp agent.HeartbeatResponse
	a.mu.Lock()
	defer a.mu.Unlock()
	if wire.Unmarshal(body, &resp) != nil || resp.FencingToken < a.fencingToken {
		return
	}
	a.fencingToken = resp.FencingToken
	a.leaseRenewedAt = sentAt
	a.execute(resp.Commands)
}

// handle answers a controller's probe or commands.
func (a *Agent) handle(_ context.Context, req *wire.Request) wire.Response {
	a.mu.Lock()
	defer a.mu.Unlock()
	var commands agent.CommandRequest
	if a.faults.Hung || a.faults.DropIncoming {
		return wire.Response{Status: statusDropConnection}
	}
	if req.Path == agent.StatusPath {
		return wire.Response{Status: wire.StatusOK, Body: a.nextHeartbeat()}
	}
	if req.Path != agent.CommandsPath || wire.Unmarshal(req.Body, &commands) != nil {
		return wire.Response{Status: wire.StatusBadRequest}
	}
	if commands.FencingToken < a.fencingToken || commands.Incarnation != a.incarnation {
		return wire.Response{Status: wire.StatusConflict, Body: a.nextHeartbeat()}
	}
	a.fencingToken = commands.FencingToken
	a.execute(commands.Commands)
	return wire.Response{Status: wire.StatusOK, Body: a.nextHeartbeat()}
}

// signalChange makes the next heartbeat leave soon.
func (a *Agent) signalChange() {
	select {
	case a.changes <- struct{}{}:
	default:
	}
}
