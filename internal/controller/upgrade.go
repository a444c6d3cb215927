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

// gangsKey is the key that is written once all controllers support gangs. No controller of an earlier
// version is started after that, so a controller that finds the key need not ask the others.
const gangsKey = "version/gangs"

const gangSupportInterval = time.Second

// awaitGangSupport waits until all controllers run a version that supports gangs, and then sets
// gangsSupported. It ends early with ctx.
//
// Guards against gangs that run as arrays: controllers are upgraded one at a time, and a leader of an
// earlier version would run a gang as an array.
func (n *Node) awaitGangSupport(ctx context.Context) {
	for !n.checkGangSupport(ctx) {
		if !clock.Sleep(ctx, gangSupportInterval) {
			return
		}
	}
	slog.Info("all controllers run gangs")
	n.gangsSupported.Store(true)
}

// checkGangSupport reports whether gangsKey exists. If every other controller has said that it supports
// gangs, it writes the key first. It returns false if the write fails, unless the key exists already.
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
	slog.Debug("gang support not written to the key-value store", "err", err)
	return false
}
