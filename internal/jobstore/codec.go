// This file encodes and decodes the values of records. Their names on the wire stand here alone:
// older versions read and write the same values, so no tag may change (docs/upgrades.md).

package jobstore

import (
	"errors"
	"fmt"

	"tulipshelf/internal/job"
	"tulipshelf/internal/wire"
)

// ErrMalformed is wrapped by errors of values that are not what their keys stand for.
var ErrMalformed = errors.New("malformed value")

// Record is the value under a job's key.
type Record struct {
	Spec              *job.Spec `cbor:"spec"`
	SubmittedMS       int64     `cbor:"at_ms"`                  // submission, in Unix milliseconds
	Arrival           uint64    `cbor:"arrival,omitempty"`      // revision of the first record; 0: this is the first
	CancelledMS       int64     `cbor:"cancelled_ms,omitempty"` // cancellation, in Unix milliseconds; 0: not cancelled
	ChunkSize         int       `cbor:"chunk"`                  // tasks in one chunk
	FirstChunk        int       `cbor:"base,omitempty"`         // number of the first chunk; 0: never rechunked
	PreviousChunkSize int       `cbor:"was,omitempty"`          // tasks in one chunk before it was rechunked
}

// rechunkedFirstChunk is Record.FirstChunk of a job that was rechunked. It is beyond the numbers of
// all earlier chunks, of which there are at most as many as tasks.
const rechunkedFirstChunk = job.MaxTasks

// DecodeRecord decodes the value of a job's key. The error wraps ErrMalformed.
func DecodeRecord(value []byte) (Record, error) {
	var record Record
	if err := wire.Unmarshal(value, &record); err != nil {
		return record, fmt.Errorf("jobstore: job record: %w: %w", ErrMalformed, err)
	}
	if record.Spec == nil || record.ChunkSize < 1 {
		return record, fmt.Errorf("jobstore: job record: %w: no description or chunk size", ErrMalformed)
	}
	return record, nil
}

// DecodeRecordSummary decodes of the value of a job's key only whether the job is cancelled, and the
// number of the first chunk that is valid: chunks with lower numbers are from before it was
// rechunked. The error wraps ErrMalformed.
func DecodeRecordSummary(value []byte) (cancelled bool, firstChunk int, err error) {
	var summary struct {
		CancelledMS int64 `cbor:"cancelled_ms"`
		FirstChunk  int   `cbor:"base"`
	}
	if err := wire.Unmarshal(value, &summary); err != nil {
		return false, 0, fmt.Errorf("jobstore: job record: %w: %w", ErrMalformed, err)
	}
	return summary.CancelledMS != 0, summary.FirstChunk, nil
}

// FinalState is the value under a finished job's key.
type FinalState struct {
	Status string `cbor:"status"` // StatusDone or StatusCancelled
	Tasks  int    `cbor:"tasks"`
}

// Final states, in the words of the users' protocol, as users read them verbatim.
const (
	StatusDone      = "done"
	StatusCancelled = "withdrawn"
)

// chunkValue is the value of one chunk.
type chunkValue struct {
	Done string         `cbor:"done"` // ranges (eachInRanges) that count from the chunk's first task
	Live []attemptValue `cbor:"live"`
}

// attemptValue is a live attempt in the value of a chunk, encoded as a list in this order.
type attemptValue struct {
	_           struct{} `cbor:",toarray"`
	Task        int      // index in the job
	Number      uint64
	Machine     string
	Incarnation uint64
}

// decodeChunkValue decodes the value of a chunk. The error wraps ErrMalformed.
func decodeChunkValue(value []byte) (chunkValue, error) {
	var decoded chunkValue
	if err := wire.Unmarshal(value, &decoded); err != nil {
		return chunkValue{}, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return decoded, nil
}

// Location is where a live attempt runs, according to its record.
type Location struct {
	Attempt     job.AttemptID
	Machine     string
	Incarnation uint64 // of the worker agent
}

// DecodeChunk decodes the value of a chunk of the job with an ID: how many tasks are done, and where
// the live attempts run. The error wraps ErrMalformed.
func DecodeChunk(id string, value []byte) (done int, live []Location, err error) {
	decoded, err := decodeChunkValue(value)
	if err != nil {
		return 0, nil, fmt.Errorf("jobstore: chunk: %w", err)
	}
	for _, a := range decoded.Live {
		attempt := job.AttemptID{Task: job.TaskName(id, a.Task), Number: a.Number}
		live = append(live, Location{Attempt: attempt, Machine: a.Machine, Incarnation: a.Incarnation})
	}
	err = eachInRanges(decoded.Done, func(int) error { done++; return nil })
	if err != nil {
		return done, live, fmt.Errorf("jobstore: chunk: %w", err)
	}
	return done, live, nil
}
