package controller

import (
	"bytes"
	"context"
	"log/slog"
	"time"

	"tulipshelf/internal/clock"
	"tulipshelf/internal/cloud"
	"tulipshelf/internal/kvstore"
	"tulipshelf/internal/wire"
)

// catalogKey is the key of the machine types that a leader last stored. A controller that starts in an
// outage of the cloud reads them, so that it can accept submissions.
const catalogKey = "catalog"

// catalogValue is the value under catalogKey.
type catalogValue struct {
	Types []cloud.Type `cbor:"types"`
}

// machineTypes returns the cloud's catalog of machine types, or nil until it is known.
func (n *Node) machineTypes() []cloud.Type {
	if types := n.types.Load(); types != nil {
		return *types
	}
	return nil
}

const (
	catalogRetryInterval   = time.Second
	catalogRefreshInterval = time.Minute // the catalog's prices change
)

// refreshCatalog reads the machine types from the cloud until ctx ends. The next read follows after
// catalogRefreshInterval, to get new prices, or after catalogRetryInterval if the read failed or
// returned no types. If a read fails while no types are known, refreshCatalog takes those in the
// key-value store, where the leader stores them.
func (n *Node) refreshCatalog(ctx context.Context) {
	var stored []byte
	for ctx.Err() == nil {
		pause := catalogRetryInterval
		types, err := n.cloud.Catalog(ctx)
		switch {
		case err != nil:
			slog.Debug("reading the catalog from the cloud failed", "err", err)
			if n.types.Load() == nil {
				n.restoreCatalog(ctx)
			}
		case len(types) > 0:
			pause = catalogRefreshInterval
			n.types.Store(&types)
			stored = n.storeCatalog(ctx, types, stored)
		}
		clock.Sleep(ctx, pause)
	}
}

// storeCatalog writes the machine types to the key-value store if this controller leads, they fit into one
// value, and they differ from stored, the value of the last write (nil if none). It returns the value of
// the last write, which a failed write does not change, so that the next refresh tries again.
func (n *Node) storeCatalog(ctx context.Context, types []cloud.Type, stored []byte) []byte {
	value := wire.Marshal(catalogValue{types})
	tooLarge := wire.JSONSize(value) > n.settings.Store.ValueBytes
	if n.leader.Load() == nil || bytes.Equal(value, stored) || tooLarge {
		return stored
	}
	mutations := []kvstore.Mutation{{Put: catalogKey, Value: value}}
	if _, err := n.store.Txn(ctx, nil, mutations, kvstore.PriorityBackground); err != nil {
		return stored
	}
	return value
}

// restoreCatalog takes the machine types from the key-value store. They stay unknown if the store does not
// return them or they are unreadable.
func (n *Node) restoreCatalog(ctx context.Context) {
	item, err := n.store.Get(ctx, catalogKey, kvstore.PriorityBackground)
	if err != nil {
		return
	}
	var value catalogValue
	if err := wire.Unmarshal(item.Value, &value); err != nil || len(value.Types) == 0 {
		slog.Error("catalog in the key-value store unreadable: machine types stay unknown until the cloud answers", "err", err)
		return
	}
	slog.Info("catalog taken from the key-value store", "types", len(value.Types))
	n.types.Store(&value.Types)
}
