package peer

import (
	"context"
	"fmt"
	"testing"
	"time"

	"tulipshelf/internal/cancellation"
	"tulipshelf/internal/job"
	"tulipshelf/internal/wire"
)

// The largest heartbeat, with as many cancelled jobs as are kept and far more attempts that are
// gone, is one that another controller takes, old or new.
func TestLargestBeat(t *testing.T) {
	register := cancellation.New(3, 51*time.Second)
	register.MergeRead(nil, time.Now())
	for i := range 4096 {
		register.Add(fmt.Sprintf("wk-%06d", i))
	}
	var gone []job.AttemptID
	for i := range 5000 {
		gone = append(gone, job.AttemptID{Task: fmt.Sprintf("wk-%06d/%d", i, 10_000+i), Number: 1<<40 + uint64(i)})
	}
	sender := New(Config{Node: "shelf-0", Register: register}, &fakeNode{leader: "shelf-1", term: 1 << 30, redirected: 6000, storeReachable: true, gone: gone})
	beat := sender.newHeartbeat().message
	if len(beat) > wire.MaxBody {
		t.Fatalf("a beat of %d bytes, %d may be sent", len(beat), wire.MaxBody)
	}
	if len(beat) < wire.MaxBody*9/10 {
		t.Errorf("a beat of %d bytes leaves attempts out that would fit", len(beat))
	}
	node := &fakeNode{leader: "shelf-1", term: 1 << 30, storeReachable: true}
	receiver := New(Config{Node: "shelf-1", Register: cancellation.New(3, 51*time.Second)}, node)
	message := wire.AppendRequest(nil, "POST", heartbeatPath, "10.0.0.2:8081", beat)
	req, _, err := wire.ParseRequest(message)
	if err != nil {
		t.Fatal(err)
	}
	if resp := receiver.Serve(context.Background(), &req); resp.Status != 200 {
		t.Errorf("answered %d", resp.Status)
	}
	if len(node.cancelled) != 4096 || len(node.observedGone) < 100 {
		t.Errorf("%d cancelled jobs and %d attempts taken", len(node.cancelled), len(node.observedGone))
	}
}
