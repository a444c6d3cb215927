package controller

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"tulipshelf/internal/clock"
	"tulipshelf/internal/kvstore"
	"tulipshelf/internal/wire"
)

// gangsKey is written once all controllers run gangs. From then on none of an earlier version comes
// back, so a controller that starts need not hear from the others to know.
const gangsKey = "version/gangs"

const gangSupportInterval = time.Second

// awaitGangSupport waits until all controllers are of a version that runs gangs: controllers are
// replaced one at a time, and one of an earlier version would run a gang as it runs an array.
func (n *Node) awaitGangSupport(ctx context.Context) {
	for !n.checkGangSupport(ctx) {
		if !clock.Sleep(ctx, gangSupportInterval) {
			return
		}
	}
	slog.Info("all controllers run gangs")
	n.gangsSupported.Store(true)
}

// checkGangSupport reads whether all controllers run gangs, and writes it once they have said so.
func (n *Node) checkGangSupport(ctx context.Context) bool {
	if _, err := n.store.Get(ctx, gangsKey, kvstore.PriorityBackground); err == nil {
		return true
	}
	if !n.peers.AllRunGangs() {
		return false
	}
	_, err := n.store.Txn(ctx, []kvstore.Compare{{Key: gangsKey}},
		[]kvstore.Mutation{{Put: gangsKey, Value: wire.Marshal(map[string]bool{"gangs": true})}}, kvstore.PriorityBackground)
	var conflict *kvstore.ConflictError
	if err == nil || errors.As(err, &conflict) {
		return true
	}
	slog.Debug("version not noted", "err", err)
	return false
}
