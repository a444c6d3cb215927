// Package kvstore is the client of the consensus-backed key-value store that holds all
// records of the service: keys with revisions, compare-and-swap transactions, leases and
// watches.
//
// Every node has one Client, whose requests stay within the node's share of the store's
// limits. What is over that share is refused at once and never waits.
//
// An error says what has become of a request as far as that can be known: see ErrRefused
// and ErrUnknown. docs/records.md lists the keys and the budget.
package kvstore
