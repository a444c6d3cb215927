package controller

import "log/slog"

// Shares of the region's request rates that one controller may use. The shares of all controllers add up
// to more than 1, as the leader needs most of a rate and any controller may lead. If two controllers need
// much at the same time, the service refuses what exceeds the rate.
const (
	requestShare = 0.6
	writeShare   = 0.8 // the leader makes nearly all changes
	cloudShare   = 0.8 // the leader makes all reads except those of the catalog
)

// onStoreRefused applies the lower limits that the settings announce without a date (StoreLimits.Next),
// after the key-value store has refused a transaction. Any refusal lowers the rates. Only a refusal as
// too large also lowers the size of values: a refusal for the rate does not show that this limit applies.
func (n *Node) onStoreRefused(tooLarge bool) {
	next := n.settings.Store.Next
	if !n.ratesLowered.Swap(true) {
		slog.Info("the key-value store allows fewer changes", "write_rps", next.WriteRPS)
		n.store.SetRates(next.RPS*requestShare, next.WriteRPS*writeShare)
	}
	lowered := int64(n.settings.Store.ValueBytes)
	if tooLarge && n.valueBytes.Swap(lowered) != lowered {
		slog.Info("the key-value store takes smaller values", "bytes", lowered)
	}
}
