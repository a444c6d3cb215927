// This file builds and parses the keys of records.

package jobstore

import (
	"fmt"
	"strconv"
	"strings"

	"tulipshelf/internal/job"
)

// JobPrefix is the prefix of the keys of unfinished jobs and of their chunks.
const JobPrefix = "job/"

// endPrefix is the prefix of the keys of finished jobs.
const endPrefix = "end/"

// JobKey returns the key of an unfinished job's Record.
func JobKey(id string) string { return JobPrefix + id }

// EndKey returns the key of a finished job's FinalState.
func EndKey(id string) string { return endPrefix + id }

// chunkKey returns the key of a job's chunk, given the job's ID and the chunk's number.
func chunkKey(id string, number int) string { return fmt.Sprintf("%s%s/%06d", JobPrefix, id, number) }

// SplitKey parses a key under JobPrefix into the job's ID and the chunk's number, which is -1 for the
// key of the job's record. It returns ok as false if the key is of neither form. A chunk's number is not
// negative: the key of a chunk must never be taken for that of the record, whose deletion ends the job.
func SplitKey(key string) (id string, chunk int, ok bool) {
	id, chunkText, isChunk := strings.Cut(strings.TrimPrefix(key, JobPrefix), "/")
	if !job.ValidID(id) {
		return "", 0, false
	}
	if !isChunk {
		return id, -1, true
	}
	number, err := strconv.ParseUint(chunkText, 10, 31)
	return id, int(number), err == nil
}
