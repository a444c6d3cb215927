package cancellation

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against a register that counts as complete although it lacks jobs: it was full when it merged an
// answer, and dropped jobs that the other controller holds.
func TestOverflowWhileMerging(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b, _ := newStaleCluster()
		sent, state := time.Now(), a.State()
		time.Sleep(time.Millisecond)
		for i := range maxJobs {
			b.Add(fmt.Sprintf("wk-%06d", i))
		}
		b.MergeRead(nil, time.Now())
		a.Add("wk-999999")
		a.MergeAnswer("b", state.Sequence, sent, b.State())
		lacking := 0
		for i := range maxJobs {
			if !a.Contains(fmt.Sprintf("wk-%06d", i)) {
				lacking++
			}
		}
		if _, known := a.Staleness(); known || lacking == 0 {
			t.Errorf("staleness known: %t, though the register lacks %d of the other's jobs", known, lacking)
		}
	})
}
