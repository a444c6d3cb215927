// Package cancellation replicates the set of cancelled jobs between the controllers of one
// cluster, in memory, and bounds how stale each controller's copy of the set is.
//
// A cancellation is recorded in the key-value store first. It is confirmed when a user is
// told of it; from then on the job's tasks must be gone within a deadline. A worker agent
// ends its tasks when its lease expires. A controller that extends leases while it lacks a
// confirmed cancellation would therefore keep the job's tasks running past the deadline. The
// store cannot be relied on to prevent that: it may be unavailable to all controllers for
// longer than the deadline, and the controller that confirmed the cancellation may crash
// meanwhile.
//
// Two rules prevent it:
//
//   - A cancellation is confirmed only while a majority of the controllers holds it in
//     memory (Register.HeldByMajority), or once the end of the job is recorded.
//   - A lease is extended only by a controller whose register is fresh enough
//     (Register.Staleness): a confirmed cancellation that it does not hold was confirmed so
//     recently that the extended lease expires before that job's deadline.
//
// # Staleness bound
//
// Each register keeps a time up to which it is complete: it holds every cancellation that
// was confirmed up to that time and whose tasks may still run. The following induction shows
// that this time is advanced soundly. A register that is complete up to t becomes complete up
// to a later time s in one of three ways:
//
//   - It merges a read of all records that was sent at s. Confirmed cancellations are
//     recorded, so the read returns them.
//   - It merges the set of another controller that is complete up to s.
//   - It merges the sets of a majority of the controllers. Each was asked at s or later. Each
//     belongs to an incarnation of the process that began at t less incarnationMargin or
//     earlier and that has since then dropped no job before the end of its retention period.
//
// The third way is sound because any two majorities share a controller. Take a cancellation
// confirmed at c, after t and no later than s. A majority held it in memory, according to
// answers that were no older than answerValidity at c. So one of the controllers that were
// asked held it at c less answerValidity or later. That controller's incarnation has not
// changed since, because it began before that time. It was asked at c or later, so its answer
// contained the job.
//
// docs/leadership.md ("Who knows of cancellations") says how the controllers use this, and
// docs/safety.md which rule of the protocol depends on it.
package cancellation
