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

// gangsKey is written once all controllers run gangs. From then on none of an earlier
// version comes back, so a node that starts need not hear the others to know.
const gangsKey = "version/gangs"

// awaitGangs waits until all controllers are of a version that runs gangs: controllers are
// replaced one at a time, and one of an earlier version would run a gang as it runs an
// array.
func (n *Node) awaitGangs(ctx context.Context) {
	for ctx.Err() == nil {
		if _, err := n.store.Get(ctx, gangsKey, kvstore.PriorityBackground); err == nil {
			break
		}
		if n.peers.AllRunGangs() {
			_, err := n.store.Txn(ctx, []kvstore.Compare{{Key: gangsKey}},
				[]kvstore.Mutation{{Put: gangsKey, Value: wire.Marshal(map[string]bool{"gangs": true})}}, kvstore.PriorityBackground)
			var conflict *kvstore.ConflictError
			if err == nil || errors.As(err, &conflict) {
				break
			}
			slog.Debug("version not noted", "err", err)
		}
		clock.Sleep(ctx, time.Second)
	}
	if ctx.Err() == nil {
		slog.Info("all controllers run gangs")
		n.gangs.Store(true)
	}
}
