// Package leader is what a controller does while it leads: it owns the state of jobs and machines,
// places tasks, sizes the cluster and records every decision before it is acted on.
//
// All state belongs to one event loop (loop.go). Everything that happens elsewhere (heartbeats,
// answers of the key-value store, the cloud and worker agents, news from other controllers) reaches
// it as a typed event. Each concern is a type of its own in a file of its own; this file wires them
// and says what runs when.
package leader

import (
	"context"
	"fmt"
	"time"

	"tulipshelf/internal/agent"
	"tulipshelf/internal/cloud"
	"tulipshelf/internal/config"
	"tulipshelf/internal/job"
	"tulipshelf/internal/kvstore"
	"tulipshelf/internal/leadership"
	"tulipshelf/internal/wire"
)

// Node is what a leader needs of the controller that it runs in. It is safe for concurrent use.
type Node interface {
	// MachineTypes returns the cloud's catalog, or nil as long as it is not known.
	MachineTypes() []cloud.Type
	// ValueBytes returns how large a value the key-value store takes, as far as it has shown.
	ValueBytes() int
	// IsCancelled reports whether the node knows that a job is cancelled, durably.
	IsCancelled(jobID string) bool
	// ConfirmedGone reports whether a recorded attempt of a cancelled job was shown to be gone.
	ConfirmedGone(attempt job.AttemptID) bool
	// MayExtendLeases reports whether the node knows of cancellations recently enough to prolong
	// the leases of worker agents.
	MayExtendLeases() bool
	// ObserveToken takes a fencing token above the leader's own, seen by a worker agent.
	ObserveToken(ctx context.Context, token uint64)
	// TransferLeadership ends the term so that another controller can be elected at once.
	TransferLeadership()
	// RedirectedElsewhere returns the largest number of machines that another controller, which
	// does not lead, has recently been contacted by.
	RedirectedElsewhere(within time.Duration) int
}

// Config is what a leader works with. All of it outlives the leader.
type Config struct {
	Settings *config.Settings
	Operator config.Operator
	Store    *kvstore.Client
	Cloud    *cloud.Client
	Dial     wire.DialFunc // to worker agents; nil: TCP
	Node     Node
}

// environment is what all concerns of a leader share and none of them changes.
type environment struct {
	Config
	term      *leadership.Term
	firstTerm uint64 // the term's number when it began; it grows with each advance
	startedAt time.Time
	loop      *eventLoop
}

// Leader is one term's state. Its concerns are touched by the event loop alone, unless a comment
// on them says otherwise.
type Leader struct {
	*environment
	stop context.CancelCauseFunc // ends the term's context

	topology     *topology
	jobs         *jobTable
	machines     *machineTable
	recovery     *recovery
	attempts     *attemptTracker
	writer       *recordWriter
	commands     *commandSource
	heartbeats   *heartbeatHandler
	dispatcher   *dispatcher
	forecast     *forecast
	reservations *reservations
	scheduler    *scheduler
	sizer        *sizer
	scaler       *scaler
	health       *machineHealth
	relays       *relayGateway
	transfer     *leadershipTransfer
}

// New returns a leader for a term that has begun. Heartbeats may be handed to it from then on; they
// wait until Run has read the records. It ends with ctx.
func New(ctx context.Context, cfg Config, term *leadership.Term) *Leader {
	ctx, stop := context.WithCancelCause(ctx)
	env := &environment{Config: cfg, term: term, firstTerm: term.Number(), startedAt: time.Now(),
		loop: newEventLoop(ctx, cfg.Settings.Resources.MaxSockets)}
	trigger := &passTrigger{}
	l := &Leader{environment: env, stop: stop}
	l.topology = newTopology(cfg.Settings)
	l.jobs = newJobTable(env, l.topology)
	l.forecast = newForecast(env, l.topology, l.jobs)
	l.machines = newMachineTable(env, l.topology, l.jobs, l.forecast, trigger)
	l.recovery = &recovery{environment: env, registry: l.machines.registry}
	l.writer = newRecordWriter(env, l.jobs, l.machines)
	l.attempts = newAttemptTracker(env, l.jobs, l.machines, l.writer, l.forecast, trigger)
	l.commands = &commandSource{environment: env, jobs: l.jobs}
	l.heartbeats = &heartbeatHandler{environment: env, topology: l.topology, jobs: l.jobs, machines: l.machines,
		attempts: l.attempts, commands: l.commands, trigger: trigger}
	l.dispatcher = newDispatcher(env, l.machines.registry, l.commands)
	l.reservations = &reservations{environment: env, topology: l.topology, jobs: l.jobs, forecast: l.forecast}
	l.scheduler = &scheduler{environment: env, topology: l.topology, jobs: l.jobs, machines: l.machines,
		attempts: l.attempts, forecast: l.forecast, reservations: l.reservations, recovery: l.recovery, trigger: trigger}
	l.health = newMachineHealth(env, l.topology, l.machines.registry, l.recovery)
	l.sizer = &sizer{environment: env, topology: l.topology, jobs: l.jobs, machines: l.machines, forecast: l.forecast,
		reservations: l.reservations, scheduler: l.scheduler, health: l.health}
	l.scaler = newScaler(env, l.topology, l.jobs, l.machines, l.recovery, l.commands, l.sizer, l.health)
	l.relays = newRelayGateway(env, l.topology, l.machines, l.heartbeats)
	l.transfer = &leadershipTransfer{environment: env, registry: l.machines.registry}
	return l
}

// errTermSuperseded ends Run where a write was refused because another term has begun.
var errTermSuperseded = fmt.Errorf("%w: the compare on the term's key failed", leadership.ErrDeposed)

// Intervals of the loop: how often it looks at what time alone brings about, and the least time
// between two rounds. Heartbeats come by the hundred a second and a round visits all machines: one
// round a heartbeat would cost the square of their number.
const (
	maxRoundInterval = 100 * time.Millisecond
	minRoundInterval = 10 * time.Millisecond
)

// Run reads the records and then runs the event loop until the leader's context ends or it finds
// that it is deposed. It returns the reason, which wraps leadership.ErrDeposed in the latter case.
func (l *Leader) Run() error {
	ctx := l.loop.ctx
	defer l.loop.wait()
	defer l.stop(nil)
	revision, err := l.load(ctx)
	if err != nil {
		return err
	}
	l.recovery.loaded.Store(true)
	l.loop.start(func() { l.watchRecords(ctx, revision) })
	l.loop.start(func() { l.scaler.run(ctx) })
	l.loop.start(func() { l.relays.watchHeartbeats(ctx) })
	return l.runRounds(ctx)
}

// runRounds applies events as they come, and after them, or after maxRoundInterval without any,
// does what has become due.
func (l *Leader) runRounds(ctx context.Context) error {
	nextRound := time.NewTimer(maxRoundInterval)
	defer nextRound.Stop()
	lastPeriodic, lastRound := time.Now(), time.Now()
	for {
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case event := <-l.loop.events:
			event.apply(l)
			l.applyQueued(ctx)
			if remaining := minRoundInterval - time.Since(lastRound); remaining > 0 {
				nextRound.Reset(remaining)
				continue
			}
		case <-nextRound.C:
		}
		now := time.Now()
		lastRound = now
		nextRound.Reset(maxRoundInterval)
		if now.Sub(lastPeriodic) >= time.Second {
			lastPeriodic = now
			l.runPeriodic(now)
		}
		l.runRound(now)
	}
}

func (l *Leader) applyQueued(ctx context.Context) {
	for len(l.loop.events) > 0 && ctx.Err() == nil {
		event := <-l.loop.events
		event.apply(l)
	}
}

// runRound is what follows from events at once.
func (l *Leader) runRound(now time.Time) {
	l.scheduler.passIfDue(now)
	l.writer.writeNext(now)
	l.dispatcher.sendUrgent(now)
	l.relays.writeCommands(now)
	l.forecast.saveIfDue(now)
}

// runPeriodic is what time alone brings about.
func (l *Leader) runPeriodic(now time.Time) {
	l.machines.registry.Each(func(machine *agent.Machine) {
		l.machines.updateLoadIndex(machine, now)
		l.attempts.drain(machine, now)
	})
	l.attempts.reconcile(now)
	l.health.retireUnhealthy(now)
	l.dispatcher.probeSilent(now)
	l.transfer.considerTransfer(now)
	l.dispatcher.trimConnections()
}

// Term returns the present number of the leader's term. It is safe for concurrent use.
func (l *Leader) Term() uint64 { return l.term.Number() }

// Loaded reports whether the records have been read. It is safe for concurrent use.
func (l *Leader) Loaded() bool { return l.recovery.loaded.Load() }

// QueuedEvents returns how many events wait for the loop. It is safe for concurrent use.
func (l *Leader) QueuedEvents() int { return len(l.loop.events) }

// Inspect runs f on the event loop and waits for it; f must not keep the registry. It returns false
// if the leader ends before. It serves diagnosis and tests.
func (l *Leader) Inspect(f func(*agent.Registry)) bool {
	inspected := inspection{f, make(chan struct{})}
	l.loop.submit(inspected)
	select {
	case <-inspected.done:
		return true
	case <-l.loop.ctx.Done():
		return false
	}
}

type inspection struct {
	inspect func(*agent.Registry)
	done    chan struct{}
}

func (e inspection) apply(l *Leader) {
	e.inspect(l.machines.registry)
	close(e.done)
}
