// Package agent holds what a leader knows of the worker agents, one on each rented machine: the
// registry of machines, what their heartbeats prove about attempts, whether commands reach them,
// and the commands that they are to get next. It performs no I/O of its own but for Call.
//
// A Registry, its machines, their assignments and their image caches have no locks. They belong to
// the event loop of the leader that made them, and only functions running on that loop may read
// or change them. The messages (Heartbeat, Command and others) are plain values; Call may be used
// from any goroutine.
package agent
