// Package api serves the users' HTTP API: submission, cancellation and polls of jobs. Every node
// serves it, with or without a leader.
//
// A response reports only what is durable in the key-value store, and nothing older than the request.
// A request that cannot be decided is answered with 503 and Retry-After instead of being queued. All
// requests are idempotent, so users can repeat them.
//
// Handler routes requests and answers them (submit.go, cancel.go, poll.go). replica is the node's
// copy of the records of unfinished jobs, from which polls are answered. finalStateCache caches the
// final statuses of jobs.
package api
