package api

// This file defines the statuses and bodies of the responses.

import (
	"log/slog"

	"tulipshelf/internal/jobstore"
	"tulipshelf/internal/wire"
)

// retryAfterSeconds is the Retry-After of a 503 response, in seconds. It is the shortest delay that the
// header can express, because the next attempt, at this node or another, will most likely be decided.
const retryAfterSeconds = 1

// JobStatus is the status of a job as reported to users. The values are defined by the protocol.
type JobStatus string

// The statuses of a job. StatusDone and StatusCancelled are final: they never change again.
const (
	StatusPending   JobStatus = "pending" // no task is running
	StatusRunning   JobStatus = "running"
	StatusDone                = JobStatus(jobstore.StatusDone)
	StatusCancelled           = JobStatus(jobstore.StatusCancelled)
)

// unfinished reports whether the job's status may still change.
func (s JobStatus) unfinished() bool { return s == StatusPending || s == StatusRunning }

// jobState is the body of the response to a poll.
type jobState struct {
	ID      string    `cbor:"uid"`
	Status  JobStatus `cbor:"status"`
	Done    int       `cbor:"done"`    // number of tasks that are done; 0 if the job is cancelled
	Running int       `cbor:"running"` // number of live attempts; 0 if the job is cancelled
}

// jobSummary is the body of the responses to successful submissions and cancellations.
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

// refuse returns the response to a request that will not succeed if it is repeated. Users receive the
// reason in the body.
func refuse(status int, reason string) wire.Response {
	slog.Debug("request refused", "status", status, "reason", reason)
	return wire.Response{Status: status, Body: wire.Marshal(wire.Problem{Error: reason})}
}

func noSuchJob() wire.Response { return refuse(wire.StatusNotFound, "no such job") }

func methodNotAllowed() wire.Response { return wire.Response{Status: wire.StatusMethodNotAllowed} }

// unavailable returns the 503 response to a request that cannot be decided now. The request is not
// queued: the client repeats it, as all requests are idempotent.
func unavailable() wire.Response {
	return wire.Response{Status: wire.StatusServiceUnavailable, RetryAfter: retryAfterSeconds}
}
