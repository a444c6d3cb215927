// Package leader implements the work of a controller while it is the leader: it owns the state of jobs
// and machines, places tasks, sizes the cluster, and records every decision before acting on it.
//
// All state belongs to one event loop (loop.go). Input from outside the loop (heartbeats, responses of
// the key-value store, the cloud and worker agents, notifications from other controllers) reaches it as
// typed events. Each concern is a type of its own in a file of its own; this file wires them together
// and defines when the loop runs each of them.
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

// Node provides a leader with the services of the controller that it runs in. It is safe for concurrent
// use.
type Node interface {
	// MachineTypes returns the cloud's catalog of machine types, or nil until it has been read.
	MachineTypes() []cloud.Type
	// ValueBytes returns the largest value, in bytes, that the key-value store is assumed to accept. It
	// drops once the store has refused a value as too large.
	ValueBytes() int
	// IsCancelled reports whether this controller has learned that a job's cancellation is durable.
	IsCancelled(jobID string) bool
	// ConfirmedGone reports whether a recorded attempt of a cancelled job is proven gone: by a heartbeat
	// that this or another controller received, or by the return of its machine to the cloud.
	ConfirmedGone(attempt job.AttemptID) bool
	// MayExtendLeases reports whether this controller's list of cancellations is recent enough for it
	// to extend the leases of worker agents.
	MayExtendLeases() bool
	// ObserveToken reports to the election a fencing token above the leader's own that a worker agent
	// has sent. It makes a request to the key-value store, which ctx bounds.
	ObserveToken(ctx context.Context, token uint64)
	// AskControllers exchanges heartbeats with the other controllers now. The term ends if one of them reports
	// a later leader.
	AskControllers(ctx context.Context)
	// TransferLeadership ends the term so that another controller can be elected at once.
	TransferLeadership()
	// MostRedirectedByPeer returns the largest number of machines that recently contacted any single
	// other controller although it does not lead. It considers only controllers that have responded to
	// this one within the given time.
	MostRedirectedByPeer(within time.Duration) int
}

// Config holds the settings and dependencies of a leader. All of them outlive the leader.
type Config struct {
	Settings *config.Settings
	Operator config.Operator
	Store    *kvstore.Client
	Cloud    *cloud.Client
	Dial     wire.DialFunc // for connections to worker agents; nil: TCP
	Node     Node
}

// environment holds what all concerns of a leader share. Its fields are not reassigned after New.
type environment struct {
	Config
	term      *leadership.Term
	firstTerm uint64 // number of the term at the election; each advance raises term.Number above it
	startedAt time.Time
	loop      *eventLoop
}

// shortestObjective returns the shortest time of the objectives that match; 0: none of them sets a time.
func (e *environment) shortestObjective(matches func(*config.Objective) bool) time.Duration {
	var shortest time.Duration
	for i := range e.Settings.Objectives {
		objective := &e.Settings.Objectives[i]
		if objective.Within <= 0 || !matches(objective) {
			continue
		}
		if shortest == 0 || objective.Within < shortest {
			shortest = objective.Within
		}
	}
	return shortest
}

// Leader holds the state of one leadership. Its concerns may be used only on the event loop, unless
// their comment says otherwise.
type Leader struct {
	*environment
	stop context.CancelCauseFunc // cancels the event loop's context with the reason that Run returns

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

// New returns a leader for a term that has begun. HandleHeartbeat may be called at once: heartbeats
// queue until Run has read the records. The leader ends with ctx.
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

// errTermSuperseded is returned by Run after a batch of records was refused because another term has
// begun.
var errTermSuperseded = fmt.Errorf("%w: write refused: the compare on the term's key failed", leadership.ErrDeposed)

// Limits on the time between two rounds of the event loop.
const (
	// maxRoundInterval is the longest time without a round while no events arrive.
	maxRoundInterval = 100 * time.Millisecond

	// minRoundInterval is the shortest time between two rounds. Hundreds of heartbeats arrive per
	// second and each round visits all machines. With one round per heartbeat the cost would grow
	// with the square of the number of machines.
	minRoundInterval = 10 * time.Millisecond
)

// Run reads the records and then runs the event loop until the leader's context ends, a batch of records
// is refused because another term has begun, or the watch on the records cannot continue because its
// revision was compacted. It returns the reason, which wraps leadership.ErrDeposed if another term has
// begun.
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

// runRounds applies events as they arrive. It runs a round after them, but at most once per
// minRoundInterval, and also after maxRoundInterval without events. Once per second a round begins with
// runPeriodic.
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

// applyQueued applies the events that wait in the queue, until it is empty or ctx ends.
func (l *Leader) applyQueued(ctx context.Context) {
	for len(l.loop.events) > 0 && ctx.Err() == nil {
		event := <-l.loop.events
		event.apply(l)
	}
}

// runRound runs the steps that follow from events, as far as they are due: placing tasks, writing
// records, sending commands and saving estimates.
func (l *Leader) runRound(now time.Time) {
	l.scheduler.passIfDue(now)
	l.writer.writeNext(now)
	l.dispatcher.sendUrgent(now)
	l.relays.writeCommands(now)
	l.forecast.saveIfDue(now)
}

// runPeriodic runs, once per second, the checks that depend on the passage of time rather than on an
// event.
func (l *Leader) runPeriodic(now time.Time) {
	l.machines.registry.Each(func(machine *agent.Machine) {
		l.machines.updateLoadIndex(machine, now)
		l.attempts.drain(machine, now)
	})
	l.attempts.stopObsolete(now)
	l.attempts.endBackoffs(now)
	l.health.retireUnhealthy(now)
	l.dispatcher.probeSilent(now)
	l.transfer.transferIfDue(now)
	l.dispatcher.trimConnections()
}

// Term returns the current number of the leader's term. It is safe for concurrent use.
func (l *Leader) Term() uint64 { return l.term.Number() }

// Loaded reports whether the records have been read. It is safe for concurrent use.
func (l *Leader) Loaded() bool { return l.recovery.loaded.Load() }

// QueuedEvents returns the number of events that wait for the event loop. It is safe for concurrent use.
func (l *Leader) QueuedEvents() int { return len(l.loop.events) }

// Inspect runs f on the event loop and waits until it has returned; f must not retain the registry.
// Inspect returns false if the leader ends first. It is meant for diagnosis and tests, and is safe for
// concurrent use.
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
