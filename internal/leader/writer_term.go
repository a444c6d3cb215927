package leader

// Advances of the leader's term, which change the fence of its writes.

import (
	"errors"
	"log/slog"
	"time"

	"tulipshelf/internal/agent"
	"tulipshelf/internal/clock"
	"tulipshelf/internal/leadership"
)

// Limits on advancing the term.
const (
	// advanceInterval is the minimum time between two advances, and between the election and the first.
	advanceInterval = 10 * time.Second

	// advanceCheckInterval is the minimum time between two checks of whether an advance is needed.
	advanceCheckInterval = time.Second

	// maxExitedTasks is the largest number of exited tasks that an agent may report without the term
	// being advanced. Advancing the term raises the agent's fencing token. The agent is told to forget a
	// task only once this token is above the term of the task's attempt.
	maxExitedTasks = 40

	// minAttemptNumbersLeft is the number of attempt numbers of the term below which the term is advanced. A leader
	// does not start as many tasks until the advance has succeeded.
	minAttemptNumbersLeft = 1 << 20

	// lostStartHeartbeats is a number of consecutive heartbeats. If an attempt that is being stopped is
	// missing from this many, its start counts as lost.
	lostStartHeartbeats = 2
)

// needsNewTerm reports whether the term needs to be advanced: to prove that lost starts can no longer take
// effect, to let agents forget exited tasks, or as attempt numbers run out. It returns false, without a check, if the
// election or the last advance was less than advanceInterval ago, or the last check less than
// advanceCheckInterval ago.
func (w *recordWriter) needsNewTerm(now time.Time) bool {
	tooSoon := now.Sub(w.advancedAt) < advanceInterval || now.Sub(w.startedAt) < advanceInterval
	if tooSoon || now.Sub(w.advanceCheckedAt) < advanceCheckInterval {
		return false
	}
	w.advanceCheckedAt = now
	needed := w.jobs.store.AttemptNumbersLeft(w.term.Number()) < minAttemptNumbersLeft
	w.machines.registry.Each(func(machine *agent.Machine) {
		needed = needed || w.machineNeedsNewTerm(machine)
	})
	return needed
}

// machineNeedsNewTerm reports whether a machine reports too many exited tasks, or has a lost start of
// the current term.
func (w *recordWriter) machineNeedsNewTerm(machine *agent.Machine) bool {
	// A machine whose heartbeats are relayed is sent no command to forget a task, whatever its token.
	if machine.RelayedBy == "" && machine.ExitedTasks() > maxExitedTasks {
		return true
	}
	for _, assignment := range machine.Assignments {
		startLost := assignment.Stopping && assignment.MissedHeartbeats >= lostStartHeartbeats
		if startLost && assignment.ID().Term() == w.term.Number() {
			return true
		}
	}
	return false
}

// advanceTerm starts an advance of the term. The writer is busy until it has ended.
func (w *recordWriter) advanceTerm(now time.Time) {
	w.advancedAt = now
	w.requestPending = true
	w.loop.start(func() {
		if err := w.term.Advance(w.loop.ctx); err != nil {
			slog.Info("term not advanced", "err", err)
		} else {
			slog.Info("term advanced", "term", w.term.Number())
		}
		w.loop.submit(termAdvanced{})
	})
}

// adoptTerm reads whether the term that a compare has shown is the leader's own, issued to it by an advance
// that was not answered. The writer is busy until that is known. A failed read is repeated: if it fails
// until the lease ends, the leader ends with it.
//
// Guards against leaders that end although no other was elected (docs/incidents/unanswered-advance.md).
func (w *recordWriter) adoptTerm() {
	w.requestPending = true
	w.loop.start(func() {
		err := w.term.AdoptLatest(w.loop.ctx)
		for err != nil && !errors.Is(err, leadership.ErrDeposed) {
			slog.Debug("term not read after a refused write", "err", err)
			if !clock.Sleep(w.loop.ctx, writeRetryInterval) {
				return
			}
			err = w.term.AdoptLatest(w.loop.ctx)
		}
		w.loop.submit(termAdopted{err})
	})
}

// termAdopted ends adoptTerm. The error, if any, wraps leadership.ErrDeposed.
type termAdopted struct{ err error }

func (e termAdopted) apply(l *Leader) {
	if e.err != nil {
		l.stop(errTermSuperseded)
		return
	}
	slog.Info("term advanced by an unanswered request", "term", l.term.Number())
	termAdvanced{}.apply(l)
}

// termAdvanced ends an advance of the term, successful or not.
type termAdvanced struct{}

func (termAdvanced) apply(l *Leader) {
	l.writer.requestPending = false
	l.attempts.renumberUnrecorded(time.Now())
}
