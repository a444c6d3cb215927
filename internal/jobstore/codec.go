// This file defines the encodings of the values that are stored for jobs. The cbor names of their
// fields are set only here and in job.Spec. Older versions read and write the same values, so no tag
// may change (docs/upgrades.md).

package jobstore

import (
	"errors"
	"fmt"

	"tulipshelf/internal/job"
	"tulipshelf/internal/wire"
)

// ErrMalformed is wrapped by the errors for stored values that cannot be decoded or are inconsistent.
var ErrMalformed = errors.New("malformed value")

// Record is the value under the key of an unfinished job (JobKey).
type Record struct {
	Spec              *job.Spec `cbor:"spec"`
	SubmittedMS       int64     `cbor:"at_ms"`                  // submission, in Unix ms
	Arrival           uint64    `cbor:"arrival,omitempty"`      // first record's revision; 0 in that record
	CancelledMS       int64     `cbor:"cancelled_ms,omitempty"` // cancellation, in Unix ms; 0: not cancelled
	ChunkSize         int       `cbor:"chunk"`                  // tasks per chunk
	FirstChunk        int       `cbor:"base,omitempty"`         // first chunk's number; 0: never rechunked
	PreviousChunkSize int       `cbor:"was,omitempty"`          // previous ChunkSize; 0: never rechunked
}

// rechunkedFirstChunk is the value of Record.FirstChunk after a rechunk. It exceeds the numbers of all
// previous chunks, as a job has at most one chunk per task.
const rechunkedFirstChunk = job.MaxTasks

// DecodeRecord decodes the value of the key of the job with an ID. The error wraps ErrMalformed, also if the value is
// that of another job.
func DecodeRecord(id string, value []byte) (Record, error) {
	var record Record
	if err := wire.Unmarshal(value, &record); err != nil {
		return record, fmt.Errorf("jobstore: decode job record: %w: %w", ErrMalformed, err)
	}
	if record.Spec == nil || record.ChunkSize < 1 {
		return record, fmt.Errorf("jobstore: decode job record: %w: no job description, or chunk size %d below 1",
			ErrMalformed, record.ChunkSize)
	}
	if record.Spec.ID != id {
		return record, fmt.Errorf("jobstore: decode job record: %w: description of job %q under the key of %q", ErrMalformed, record.Spec.ID, id)
	}
	return record, nil
}

// DecodeRecordSummary decodes two fields of the value of a job's key: whether the job is cancelled, and
// the number of its first chunk (Record.FirstChunk). Chunks with lower numbers precede a rechunk. The
// error wraps ErrMalformed.
func DecodeRecordSummary(value []byte) (cancelled bool, firstChunk int, err error) {
	var summary struct {
		CancelledMS int64 `cbor:"cancelled_ms"`
		FirstChunk  int   `cbor:"base"`
	}
	if err := wire.Unmarshal(value, &summary); err != nil {
		return false, 0, fmt.Errorf("jobstore: decode summary of job record: %w: %w", ErrMalformed, err)
	}
	return summary.CancelledMS != 0, summary.FirstChunk, nil
}

// FinalState is the value under the key of a finished job (EndKey).
type FinalState struct {
	Status string `cbor:"status"` // StatusDone or StatusCancelled
	Tasks  int    `cbor:"tasks"`
}

// Values of FinalState.Status, which are those of the users' protocol: users receive them verbatim.
const (
	StatusDone      = "done"
	StatusCancelled = "withdrawn"
)

// chunkValue is the value under the key of a chunk.
type chunkValue struct {
	Done string         `cbor:"done"` // offsets of done tasks in the chunk, as ranges (eachInRanges)
	Live []attemptValue `cbor:"live"` // live attempts of the chunk's tasks
}

// attemptValue is a live attempt in the value of a chunk. It is encoded as an array in the order of its
// fields.
type attemptValue struct {
	_           struct{} `cbor:",toarray"`
	Task        int      // index in the job
	Number      uint64   // attempt number (Store.NextAttemptNumber)
	Machine     string
	Incarnation uint64 // incarnation of the worker agent
}

// decodeChunkValue decodes the value of a chunk. The error wraps ErrMalformed.
func decodeChunkValue(value []byte) (chunkValue, error) {
	var decoded chunkValue
	if err := wire.Unmarshal(value, &decoded); err != nil {
		return chunkValue{}, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return decoded, nil
}

// Location is the machine and incarnation of a live attempt, as recorded in its chunk.
type Location struct {
	Attempt     job.AttemptID
	Machine     string
	Incarnation uint64 // incarnation of the worker agent
}

// DecodeChunk decodes the value of a chunk of the job with an ID. It returns the number of done tasks
// and the locations of the live attempts. The error wraps ErrMalformed.
func DecodeChunk(id string, value []byte) (done int, live []Location, err error) {
	decoded, err := decodeChunkValue(value)
	if err != nil {
		return 0, nil, fmt.Errorf("jobstore: decode chunk of job %s: %w", id, err)
	}
	for _, a := range decoded.Live {
		attempt := job.AttemptID{Task: job.TaskName(id, a.Task), Number: a.Number}
		live = append(live, Location{Attempt: attempt, Machine: a.Machine, Incarnation: a.Incarnation})
	}
	err = eachInRanges(decoded.Done, func(int) error { done++; return nil })
	if err != nil {
		return done, live, fmt.Errorf("jobstore: decode chunk of job %s: done tasks: %w", id, err)
	}
	return done, live, nil
}
