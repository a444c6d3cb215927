// Package leadership elects one controller of the service as its leader.
//
// The leader holds a key of the key-value store that hangs on a lease. Every election,
// also of the same node, takes the next term in the same transaction. The term's number is
// the fencing token that agents see, and the revision of the term's key is a compare of
// every write of a leader: a deposed leader writes nothing, whatever its clock says.
//
// A process makes one Candidate and calls its Run, which campaigns, and while the node
// leads renews the lease and runs the leader's work with its Term. What a node reads or
// hears is judged by functions without requests, clocks or locks: those of electionState
// for what the store holds, those of view for what the node knows.
//
// docs/leadership.md has the reasons.
package leadership
