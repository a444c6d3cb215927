package agent

// RetireReason is why the leader returns a machine to the cloud.
type RetireReason string

// Reasons to return a machine, as they are logged.
const (
	NotRetired         RetireReason = ""                       // it is not being returned
	RetireFailed       RetireReason = "failed"                 // the cloud lists it so
	RetireQuarantined  RetireReason = "faulty"                 // tasks of several jobs failed on it
	RetireNeverBooted  RetireReason = "never came up"          // no heartbeat within several boot times
	RetireSilent       RetireReason = "silent"                 // no heartbeat for too long
	RetireReclaimed    RetireReason = "reclaimed by the cloud" // its termination notice has run out
	RetireUnknownType  RetireReason = "unknown type or zone"   // nothing can be placed on it
	RetireUnresponsive RetireReason = "commands not received"  // heartbeats arrive, nothing reaches it
	RetireUnlisted     RetireReason = "no longer listed"       // the cloud does not know it any more
	RetireIdle         RetireReason = "idle"                   // empty, and not needed

	// RetireStuckCancelled is for a machine that holds a cancelled task and cannot be sent the halt.
	// It is returned even while this node may have lost the leadership, since the deadline for
	// cancelled tasks runs out; at worst work is lost that another leader has placed on it.
	RetireStuckCancelled RetireReason = "holds a cancelled task that cannot be stopped"
)
