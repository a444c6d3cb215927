package agent

// RetireReason is why the leader returns a machine to the cloud.
type RetireReason string

// Reasons, as they are logged.
const (
	NotRetired         RetireReason = ""
	RetireFailed       RetireReason = "failed"                   // the cloud lists it so
	RetireQuarantined  RetireReason = "faulty"                   // tasks of several jobs failed on it
	RetireNeverBooted  RetireReason = "never came up"            // no heartbeat within several boot times
	RetireSilent       RetireReason = "silent"                   // no heartbeat for too long
	RetireReclaimed    RetireReason = "taken back"               // its termination notice has run out
	RetireUnknownType  RetireReason = "of no known type or zone" // nothing can be placed on it
	RetireUnresponsive RetireReason = "gets no commands"         // heartbeats arrive, nothing reaches it
	RetireUnlisted     RetireReason = "no longer listed"         // the cloud does not know it any more
	RetireIdle         RetireReason = "idle"                     // empty, and not needed

	// RetireStuckCancelled is given to a machine that can't be told of a cancellation. It is returned
	// even while it is not sure that this node still leads, as its time runs out: the worst is work
	// lost on it that another leader has sent there.
	RetireStuckCancelled RetireReason = "holds a cancelled task that cannot be stopped"
)
