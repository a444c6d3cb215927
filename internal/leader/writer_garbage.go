package leader

// Deletion of the remaining chunks of ended jobs.

import "tulipshelf/internal/kvstore"

// addGarbage queues deletions of the remaining chunks of ended jobs. They are executed when there is
// nothing else to write.
func (w *recordWriter) addGarbage(deletions ...kvstore.Mutation) {
	w.garbage = append(w.garbage, deletions...)
}

// deleteGarbage starts a transaction with as many of the queued deletions as the limits of the key-value
// store allow.
func (w *recordWriter) deleteGarbage(fence kvstore.Compare) {
	limit := min(len(w.garbage), w.Settings.Store.TxnOps, w.Store.WriteBudget(kvstore.PriorityBackground))
	count := countFitting(fence, w.garbage[:limit])
	if count == 0 {
		return
	}
	deletions := w.garbage[:count:count]
	w.garbage = w.garbage[count:]
	w.requestPending = true
	w.loop.start(func() {
		_, err := w.Store.Txn(w.loop.ctx, []kvstore.Compare{fence}, deletions, kvstore.PriorityBackground)
		w.loop.submit(garbageDeleted{deletions, err})
	})
}

// countFitting returns how many of the mutations, which delete keys, fit into one transaction with a compare.
func countFitting(compare kvstore.Compare, deletions []kvstore.Mutation) int {
	size := kvstore.EmptyTransactionBytes + compare.Size()
	for i := range deletions {
		size += deletions[i].Size(0)
		if size > kvstore.UsableTransactionBytes {
			return i
		}
	}
	return len(deletions)
}

// garbageDeleted reports the outcome of a transaction of deletions. After an error they are queued
// again.
type garbageDeleted struct {
	deletions []kvstore.Mutation
	err       error
}

func (e garbageDeleted) apply(l *Leader) {
	l.writer.requestPending = false
	if e.err != nil {
		l.writer.addGarbage(e.deletions...)
	}
}
