// Package kvstore is the client of the consensus-backed key-value store that holds all
// records of the service: keys with revisions, compare-and-swap transactions, leases and
// watches.
//
// Every node has one Client, which keeps the node's requests within its share of the store's
// rate limits. A request over that share fails at once with ErrRateLimited; it is never
// queued. Requests of PriorityLease are exempt.
//
// An error tells whether the request was executed, as far as the client can determine it: see
// ErrRefused and ErrUnknown. docs/records.md lists the keys and the budget.
package kvstore
