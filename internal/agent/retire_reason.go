package agent

// RetireReason is the reason for which the leader retires a machine, marking it for return to the cloud.
type RetireReason string

// Reasons to retire a machine. Their values are logged.
const (
	NotRetired         RetireReason = ""                       // not to be returned
	RetireFailed       RetireReason = "failed"                 // listed as failed by the cloud
	RetireQuarantined  RetireReason = "faulty"                 // quarantined after repeated failures of tasks
	RetireNeverBooted  RetireReason = "never came up"          // no heartbeat within several boot times
	RetireSilent       RetireReason = "silent"                 // no heartbeat for too long
	RetireReclaimed    RetireReason = "reclaimed by the cloud" // termination notice expired
	RetireUnknownType  RetireReason = "unknown type or zone"   // nothing can be placed on it
	RetireUnresponsive RetireReason = "commands not received"  // heartbeats arrive, responses and commands do not
	RetireUnlisted     RetireReason = "no longer listed"       // missing from the cloud's list
	RetireIdle         RetireReason = "idle"                   // empty and not needed

	// RetireStuckCancelled is the reason for a machine that still holds a cancelled task because the halt
	// has not taken effect. The machine is returned even if this node may have lost the leadership, since
	// the deadline for cancelled tasks is near. At worst this loses work that another leader has placed
	// on the machine.
	RetireStuckCancelled RetireReason = "holds a cancelled task that cannot be stopped"
)
