// Package agent keeps a leader's state of the worker agents, of which one runs on each rented machine.
// It holds the registry of machines, determines from heartbeats which attempts have ended and whether
// commands reach a machine, and computes the commands to send next. Only Call performs I/O.
//
// A Registry, its machines, their assignments and their image caches have no locks. Only the event loop
// of the leader that created them may read or change them. The messages (Heartbeat, Command and others)
// are plain values. Call is safe for concurrent use.
package agent
