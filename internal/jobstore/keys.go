// This file forms and parses the keys of records.

package jobstore

import (
	"fmt"
	"strconv"
	"strings"

	"tulipshelf/internal/job"
)

// Prefixes of the keys of this slice.
const (
	JobPrefix = "job/"
	endPrefix = "end/"
)

// JobKey returns the key of an unfinished job.
func JobKey(id string) string { return JobPrefix + id }

// EndKey returns the key of a finished job's state.
func EndKey(id string) string { return endPrefix + id }

func chunkKey(id string, n int) string { return fmt.Sprintf("%s%s/%06d", JobPrefix, id, n) }

// SplitKey takes apart a key under JobPrefix; chunk is -1 for the job itself.
func SplitKey(key string) (id string, chunk int, ok bool) {
	id, rest, found := strings.Cut(strings.TrimPrefix(key, JobPrefix), "/")
	if !job.ValidID(id) {
		return "", 0, false
	}
	if !found {
		return id, -1, true
	}
	n, err := strconv.Atoi(rest)
	return id, n, err == nil
}
