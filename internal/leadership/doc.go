// Package leadership elects one controller of the service as its leader.
//
// The leader owns a key in the key-value store that is attached to a lease. Every election,
// including the re-election of the same node, takes the next term in the transaction that
// writes this key. The term number is the fencing token that worker agents check. Every write
// of a leader compares the revision of the term's key, so the store rejects the writes of a
// deposed leader, whatever its clock says.
//
// A process creates one Candidate and calls its Run method. Run campaigns for leadership; while
// the node leads, Run renews the lease and runs the leader's work with the node's Term. The
// decisions are made by functions that send no requests, read no clocks and take no lock but
// that of Term: the methods of electionState decide from the content of the store, those of view
// from the observations of the node.
//
// The reasons for this design are in docs/leadership.md.
package leadership
