// This file encodes and decodes the values of records. The names on the wire stand here alone.

package jobstore

import (
	"fmt"
	"strconv"
	"strings"

	"tulipshelf/internal/job"
	"tulipshelf/internal/wire"
)

// Record is the value under a job's key.
type Record struct {
	Spec              *job.Spec `cbor:"spec"`
	SubmittedMS       int64     `cbor:"at_ms"`                  // submission, time of day
	Arrival           uint64    `cbor:"arrival,omitempty"`      // first revision, kept when cancelled
	CancelledMS       int64     `cbor:"cancelled_ms,omitempty"` // 0: not cancelled
	ChunkSize         int       `cbor:"chunk"`                  // tasks in one chunk
	FirstChunk        int       `cbor:"base,omitempty"`         // number of the first chunk; not 0: laid out anew
	PreviousChunkSize int       `cbor:"was,omitempty"`          // tasks in one chunk before that
}

// DecodeRecord reads the value of a job's key.
func DecodeRecord(value []byte) (Record, error) {
	var r Record
	if err := wire.Unmarshal(value, &r); err != nil || r.Spec == nil || r.ChunkSize < 1 {
		return r, fmt.Errorf("jobstore: job record: %w", err)
	}
	return r, nil
}

// DecodeRecordSummary reads from the value of a job's key whether it is cancelled, and the number of
// the first chunk that counts.
func DecodeRecordSummary(value []byte) (cancelled bool, base int, err error) {
	var r struct {
		CancelledMS int64 `cbor:"cancelled_ms"`
		Base        int   `cbor:"base"`
	}
	if err := wire.Unmarshal(value, &r); err != nil {
		return false, 0, fmt.Errorf("jobstore: job record: %w", err)
	}
	return r.CancelledMS != 0, r.Base, nil
}

// FinalState is the value under a finished job's key.
type FinalState struct {
	Status string `cbor:"status"` // Done or Cancelled
	Tasks  int    `cbor:"tasks"`
}

// Final states, in the protocol's words since users are told them verbatim.
const (
	StatusDone      = "done"
	StatusCancelled = "withdrawn"
)

// chunkValue is the value of one chunk. An attempt is a list of task number,
// attempt, machine and session.
type chunkValue struct {
	Done string         `cbor:"done"` // ranges such as "0-5,9", from the chunk's first task
	Live []attemptValue `cbor:"live"`
}

type attemptValue struct {
	_           struct{} `cbor:",toarray"`
	Task        int
	Number      uint64
	Machine     string
	Incarnation uint64
}

// Location is a live attempt by its record.
type Location struct {
	Attempt     job.AttemptID
	Machine     string
	Incarnation uint64 // of the worker agent
}

// DecodeChunk returns how many tasks a chunk's value says are done, and its live attempts.
func DecodeChunk(id string, value []byte) (done int, live []Location, err error) {
	var v chunkValue
	if err := wire.Unmarshal(value, &v); err != nil {
		return 0, nil, fmt.Errorf("jobstore: chunk: %w", err)
	}
	for _, a := range v.Live {
		live = append(live, Location{job.AttemptID{Task: job.TaskName(id, a.Task), Number: a.Number}, a.Machine, a.Incarnation})
	}
	err = eachInRange(v.Done, func(int) error { done++; return nil })
	return done, live, err
}

// eachInRange calls f for each number of a text such as "0-5,9".
func eachInRange(s string, f func(int) error) error {
	if s == "" {
		return nil
	}
	for _, part := range strings.Split(s, ",") {
		from, to, pair := strings.Cut(part, "-")
		a, err := strconv.Atoi(from)
		b := a
		if err == nil && pair {
			b, err = strconv.Atoi(to)
		}
		if err != nil || a < 0 || b < a || b > job.MaxTasks {
			return fmt.Errorf("jobstore: bad range %q", part)
		}
		for i := a; i <= b; i++ {
			if err := f(i); err != nil {
				return err
			}
		}
	}
	return nil
}
