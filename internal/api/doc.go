// Package api serves the users' HTTP API: submission, cancellation and polls of jobs. Every node
// serves it, with or without a leader.
//
// What a user is told is durable in the key-value store before it is told, and no older than the
// request. A request that cannot be decided is answered at once with 503 and Retry-After; all
// requests are idempotent, so users repeat them.
//
// Handler routes requests and answers them (submit.go, cancel.go, poll.go). replica is the node's
// copy of the records of unfinished jobs, from which polls are answered; finalStateCache remembers
// jobs that have ended.
package api
