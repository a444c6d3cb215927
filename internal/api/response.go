package api

// This file has the statuses and bodies of all answers.

import (
	"log/slog"

	"tulipshelf/internal/jobstore"
	"tulipshelf/internal/wire"
)

// retryAfterSeconds is the time after which a client is asked to retry: the least that the header
// can say, as the next attempt, or one at another node, will most likely be decided.
const retryAfterSeconds = 1

// JobStatus is the status of a job as users are told it. The values are the protocol's.
type JobStatus string

// The statuses of a job. The last two are final: a job never leaves them.
const (
	StatusPending   JobStatus = "pending" // no task is running
	StatusRunning   JobStatus = "running"
	StatusDone                = JobStatus(jobstore.StatusDone)
	StatusCancelled           = JobStatus(jobstore.StatusCancelled)
)

// unfinished reports whether the job may still change its status.
func (s JobStatus) unfinished() bool { return s == StatusPending || s == StatusRunning }

// jobState is the body of the answer to a poll. Done and Running count tasks.
type jobState struct {
	ID      string    `cbor:"uid"`
	Status  JobStatus `cbor:"status"`
	Done    int       `cbor:"done"`
	Running int       `cbor:"running"`
}

// jobSummary is the body of all other answers about a job, and of polls answered from the cache
// of final states.
type jobSummary struct {
	ID     string    `cbor:"uid"`
	Status JobStatus `cbor:"status"`
}

func respondOK(body any) wire.Response {
	return wire.Response{Status: wire.StatusOK, Body: wire.Marshal(body)}
}

func respondCreated(body any) wire.Response {
	return wire.Response{Status: wire.StatusCreated, Body: wire.Marshal(body)}
}

// refuse returns the answer to a request that will not succeed if it is repeated.
func refuse(status int, reason string) wire.Response {
	slog.Debug("request refused", "status", status, "reason", reason)
	return wire.Response{Status: status, Body: wire.Marshal(wire.Problem{Error: reason})}
}

func noSuchJob() wire.Response { return refuse(wire.StatusNotFound, "no such job") }

func methodNotAllowed() wire.Response { return wire.Response{Status: wire.StatusMethodNotAllowed} }

// unavailable returns the answer to a request that cannot be decided now. It is sent at once:
// the client repeats the request, which is idempotent.
func unavailable() wire.Response {
	return wire.Response{Status: wire.StatusServiceUnavailable, RetryAfter: retryAfterSeconds}
}
