package controller

import "log/slog"

// Shares of the region's request rates that one controller may use. The parts overlap, since the
// leader needs most and any controller may lead; where two need much at once the service's own
// refusal decides.
const (
	requestShare = 0.6
	writeShare   = 0.8 // nearly all changes are the leader's
	cloudShare   = 0.8 // all but the catalog is read by the leader
)

// onStoreRefused learns that the key-value store's limits are lower by now, as settings announce
// without saying when. One request too many shows less than a value that is too large: only rates
// follow from it.
func (n *Node) onStoreRefused(tooLarge bool) {
	next := n.settings.Store.Next
	if !n.ratesLowered.Swap(true) {
		slog.Info("the state service allows fewer changes", "write_rps", next.WriteRPS)
		n.store.SetRates(next.RPS*requestShare, next.WriteRPS*writeShare)
	}
	lowered := int64(n.settings.Store.ValueBytes)
	if tooLarge && n.valueBytes.Swap(lowered) != lowered {
		slog.Info("the state service takes smaller values", "bytes", lowered)
	}
}
