// Package cancellation replicates the set of cancelled jobs between the controllers of one
// cluster, in memory, and bounds how stale each controller's copy of the set is.
//
// A cancellation is recorded in the key-value store first. It is confirmed when a user is
// told of it; from then on the job's tasks must be gone within a deadline. A worker agent
// ends its tasks when its lease expires, so a controller that extends leases without knowing
// of a confirmed cancellation would keep the job's tasks alive past the deadline. The store
// cannot be relied on to prevent that: it may serve nobody for longer than the deadline, and
// the controller that confirmed the cancellation may crash meanwhile.
//
// Two rules prevent it:
//
//   - A cancellation is confirmed only while a majority of the controllers holds it in
//     memory (Register.HeldByMajority), or once the end of the job is recorded.
//   - A lease is extended only by a controller whose register is so fresh (Register.Staleness)
//     that a cancellation which it does not hold was confirmed recently: the extended lease
//     expires before that job's deadline.
//
// # Staleness bound
//
// Each register keeps a time up to which it is complete: it holds every cancellation that
// was confirmed until then and whose tasks may still run. The argument that the time is
// advanced soundly is by induction. A register that is complete until t becomes complete
// until a later time s in one of three ways:
//
//   - It merges a read of all records that was sent at s. Confirmed cancellations are
//     recorded, so the read returns them.
//   - It merges the set of another controller that is complete until s.
//   - It merges the sets of a majority of the controllers, each asked at s or later, and each
//     of an incarnation of the process that has forgotten nothing since t less
//     incarnationMargin.
//
// The third way is sound because two majorities share a controller. Take a cancellation
// confirmed at c, after t and not after s. A majority held it in memory, by answers no older
// than answerValidity at c. So one of the controllers that were asked held it at c less
// answerValidity or later. Its incarnation is the same now as then, as it began before that,
// and it was asked after c, so its answer contained the job.
//
// docs/leadership.md ("Who knows of cancellations") says how the controllers use this, and
// docs/safety.md which rule of the protocol depends on it.
package cancellation
