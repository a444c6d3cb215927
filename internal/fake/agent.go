package fake

// The worker agent on a rented machine: heartbeats, lease and command requests. Its tasks are in
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
	// changeReportDelay is the delay of a heartbeat that reports the change of a task's status.
	changeReportDelay = 500 * time.Millisecond
	// heartbeatTimeout is the time limit for the response to a heartbeat.
	heartbeatTimeout = 4 * time.Second
	// retryDelay is the delay after a failed heartbeat before the next controller is tried.
	retryDelay = time.Second
	// hungPollInterval is the interval at which a hung agent checks whether the fault is over.
	hungPollInterval = 100 * time.Millisecond
)

// Agent is a rented machine and the worker agent that runs on it.
type Agent struct {
	Name, Addr, Zone string

	cloud    *Cloud
	rentedAt time.Time
	ctx      context.Context // ends when the machine is terminated
	cancel   context.CancelFunc

	changes chan struct{} // capacity 1; an element requests a heartbeat after changeReportDelay

	mu             sync.Mutex // guards the fields below and those of the tasks
	booted         bool
	incarnation    uint64
	sequence       uint64 // sequence number of the last heartbeat
	fencingToken   uint64 // highest fencing token seen
	leaseRenewedAt time.Time
	terminationAt  time.Time // end of the termination notice; zero: no notice
	tasks          map[job.AttemptID]*machineTask
	faults         AgentFaults

	started map[job.AttemptID]struct{} // attempts that were started here, also those that are forgotten
}

// AgentFaults is the set of active faults of a machine. The zero value means no fault.
type AgentFaults struct {
	// Hung stops the agent: it sends no heartbeats, answers no requests and starts no tasks, while its
	// tasks stay on the machine. It simulates a frozen kernel or a machine out of memory.
	Hung bool
	// DropIncoming discards responses and commands to the machine, while its heartbeats still leave. It
	// simulates an asymmetric network partition or a broken receive path.
	DropIncoming bool
	// FailTasks makes each task fail as soon as it starts. It simulates a full disk or a broken device.
	FailTasks bool
}

// newAgent returns a machine that has not booted.
func newAgent(c *Cloud, name, zone string) *Agent {
	ctx, cancel := context.WithCancel(context.Background())
	return &Agent{Name: name, Addr: "10.1.0.1:" + name, Zone: zone, cloud: c, rentedAt: time.Now(), ctx: ctx, cancel: cancel,
		incarnation: 1, tasks: map[job.AttemptID]*machineTask{}, started: map[job.AttemptID]struct{}{}, changes: make(chan struct{}, 1)}
}

// terminate shuts the machine down and kills all its tasks.
func (a *Agent) terminate() {
	a.cancel()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.killTasks()
}

// SetFaults replaces all active faults of the machine.
func (a *Agent) SetFaults(faults AgentFaults) {
	a.UpdateFaults(func(f *AgentFaults) { *f = faults })
}

// UpdateFaults changes some of the active faults of the machine and leaves the others.
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

// Restart kills all tasks and begins a new incarnation, as if the machine rebooted without any delay.
func (a *Agent) Restart() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.beginIncarnation()
	a.signalChange()
}

// AnnounceTermination adds a termination notice to the heartbeats: the cloud takes the machine back
// after the given time. The fake does not terminate the machine when that time is over.
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

// CurrentHeartbeat returns the body of the heartbeat that the agent would send now, for tests that
// deliver it late. The heartbeat consumes a sequence number.
func (a *Agent) CurrentHeartbeat() []byte {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.nextHeartbeat()
}

// HasTasksOf reports whether a task of the job is on the machine and has not exited.
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

// TaskCount returns the number of tasks on the machine that have not exited.
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

// reportTo sends a heartbeat to a controller and waits until the next heartbeat is due. Controllers are
// given as indexes of Cloud.controllerAddrs; next is the one that gets the next heartbeat. A refusal that
// names another controller as the leader is followed without a delay.
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

// namedLeader returns the index of the controller that a refusal names as the leader. known is false if
// the refusal names none, one that is not in Cloud.controllerNames, or the refusing controller itself.
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

// nextHeartbeat returns the body of the next heartbeat and consumes a sequence number. The caller holds
// mu.
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
	body := wire.Marshal(heartbeat)
	a.checkSize(body)
	return body
}

// sendHeartbeat sends a heartbeat to a controller and returns the response. Its status is 0 if the
// request fails or no response arrives within heartbeatTimeout.
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

// acceptResponse renews the lease as of sentAt, the time at which the heartbeat was sent, and executes
// the commands. It ignores a response whose fencing token is lower than the highest seen, which comes
// from a leader of an earlier term.
func (a *Agent) acceptResponse(body []byte, sentAt time.Time) {
	var resp agent.HeartbeatResponse
	a.checkSize(body)
	a.mu.Lock()
	defer a.mu.Unlock()
	if wire.Unmarshal(body, &resp) != nil || resp.FencingToken < a.fencingToken {
		return
	}
	a.fencingToken = resp.FencingToken
	a.leaseRenewedAt = sentAt
	a.execute(resp.Commands)
}

// handle answers a controller's status request or executes its commands.
func (a *Agent) handle(_ context.Context, req *wire.Request) wire.Response {
	a.mu.Lock()
	defer a.mu.Unlock()
	var commands agent.CommandRequest
	a.checkSize(req.Body)
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
		a.countLateStarts(commands.Commands)
		return wire.Response{Status: wire.StatusConflict, Body: a.nextHeartbeat()}
	}
	a.fencingToken = commands.FencingToken
	a.execute(commands.Commands)
	return wire.Response{Status: wire.StatusOK, Body: a.nextHeartbeat()}
}

// countLateStarts reports to the invariant checker the starts in refused commands of attempts that were started
// here before and are no longer listed: without the refusal they would be started again. The caller holds mu.
func (a *Agent) countLateStarts(refused []agent.Command) {
	for _, command := range refused {
		attempt := job.AttemptID{Task: command.Task, Number: command.Attempt}
		_, started := a.started[attempt]
		if command.Verb == agent.VerbRun && started && a.tasks[attempt] == nil {
			a.cloud.invariants.lateStartRefused()
		}
	}
}

// checkSize reports a message to or from the agent that is larger than the protocol allows.
func (a *Agent) checkSize(body []byte) {
	if exceedsInJSON(body, maxBodyBytes) {
		a.cloud.invariants.messageTooLarge(a.Name, JSONSize(body))
	}
}

// signalChange makes the agent send its next heartbeat after changeReportDelay, to report a change of its
// tasks.
func (a *Agent) signalChange() {
	select {
	case a.changes <- struct{}{}:
	default:
	}
}
