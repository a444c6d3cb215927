// This file keeps batches that the key-value store has refused from being sent again unchanged.
//
// Guards against a single change that stops all others: all records are written in one stream of batches,
// so a batch that is built again as it was is refused again, and nothing else is written meanwhile
// (docs/incidents/refused-batch-repeated.md).

package jobstore

import "time"

// refusedPause is the time after which a change that was refused by itself is sent again.
const refusedPause = 2 * time.Second

// BatchRefused is BatchFailed for a batch that the key-value store has refused as malformed or too large.
// The next batch holds at most half as many changes, until a refused batch holds a single one. That change
// is then left out of the batches of the next refusedPause. Each batch that is committed raises the maximum
// number of changes by one.
func (s *Store) BatchRefused(batch *Batch, now time.Time) (ended []*Job) {
	if count := batch.changes(); count > 1 {
		s.maxChanges = count / 2
	} else {
		batch.pause(now.Add(refusedPause))
	}
	return s.BatchFailed(batch)
}

// changes returns the number of changes that the batch holds.
func (b *Batch) changes() int {
	count := len(b.chunks) + len(b.ends)
	if b.rechunk != nil {
		count++
	}
	return count
}

// pause leaves the changes of the batch out of batches before a time.
func (b *Batch) pause(until time.Time) {
	for _, write := range b.chunks {
		write.chunk.pausedUntil = until
	}
	for _, write := range b.ends {
		write.job.pausedUntil = until
	}
	if b.rechunk != nil {
		b.rechunk.job.pausedUntil = until
	}
}

// allowMoreChanges raises the maximum number of changes in a batch, if there is one.
func (s *Store) allowMoreChanges() {
	if s.maxChanges > 0 {
		s.maxChanges++
	}
}

// takesNoMoreChanges reports whether a batch holds the maximum number of changes.
func (s *Store) takesNoMoreChanges(batch *Batch) bool {
	return s.maxChanges > 0 && batch.changes() >= s.maxChanges
}
