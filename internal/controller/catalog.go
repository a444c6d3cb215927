package controller

import (
	"bytes"
	"context"
	"log/slog"
	"time"

	"tulipshelf/internal/clock"
	"tulipshelf/internal/cloud"
	"tulipshelf/internal/kvstore"
	"tulipshelf/internal/relay"
	"tulipshelf/internal/wire"
)

// catalogKey holds the machine types as last read, so that a controller that starts while the cloud
// does not serve can still take submissions.
const catalogKey = "catalog"

// catalogValue is the value under catalogKey.
type catalogValue struct {
	Types []cloud.Type `cbor:"types"`
}

// machineTypes returns the cloud's catalog, or nil as long as it is not known.
func (n *Node) machineTypes() []cloud.Type {
	if types := n.types.Load(); types != nil {
		return *types
	}
	return nil
}

const (
	catalogRetryInterval   = time.Second
	catalogRefreshInterval = time.Minute // prices change
)

// refreshCatalog reads the machine types until they are known, and then now and again for the
// prices. The leader keeps them in the key-value store.
func (n *Node) refreshCatalog(ctx context.Context) {
	var stored []byte
	for ctx.Err() == nil {
		pause := catalogRetryInterval
		types, err := n.cloud.Catalog(ctx)
		switch {
		case err != nil:
			slog.Debug("catalog not read", "err", err)
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

// storeCatalog writes the machine types for the others if this controller leads and they have
// changed, and returns what is kept from then on.
func (n *Node) storeCatalog(ctx context.Context, types []cloud.Type, stored []byte) []byte {
	value := wire.Marshal(catalogValue{types})
	tooLarge := len(value) > relay.UsableBytes(n.settings.Store.ValueBytes)
	if n.leader.Load() == nil || bytes.Equal(value, stored) || tooLarge {
		return stored
	}
	mutations := []kvstore.Mutation{{Put: catalogKey, Value: value}}
	if _, err := n.store.Txn(ctx, nil, mutations, kvstore.PriorityBackground); err != nil {
		return stored
	}
	return value
}

// restoreCatalog takes the machine types that a leader has kept.
func (n *Node) restoreCatalog(ctx context.Context) {
	item, err := n.store.Get(ctx, catalogKey, kvstore.PriorityBackground)
	if err != nil {
		return
	}
	var value catalogValue
	if err := wire.Unmarshal(item.Value, &value); err != nil || len(value.Types) == 0 {
		slog.Error("kept catalog unreadable", "err", err)
		return
	}
	slog.Info("catalog taken from the key-value store", "types", len(value.Types))
	n.types.Store(&value.Types)
}
