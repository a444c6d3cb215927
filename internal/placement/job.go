package placement

// Jobs, as a pass sees them.

// Job is a job with waiting tasks in the snapshot of a pass. Its position in the list is its name.
type Job struct {
	// Order.
	Priority             int     // the higher, the sooner
	BeyondGuarantee      bool    // its team has more unfinished work than it is guaranteed
	InverseResponseRatio float64 // work left over time waited; the less, the sooner
	Arrival              uint64  // the less, the sooner
	Overdue              bool    // has waited too long with none of its tasks begun

	// What its tasks need, and how many there are.
	Team    int     // position in the list of teams
	Need    Amounts // of one task
	Waiting int     // tasks that wait for a machine
	Tasks   int     // of the job in all, running and done ones included

	// Feasible machines.
	Types           []bool // allowed machine types, by dense index; nil: any
	Zone            int    // dense index; AnyZone: any
	Spot            bool   // may run on spot machines
	OneZone         bool   // all of its tasks in one zone, whichever
	SpreadOverZones bool   // no more than half of its tasks in one zone
	Avoid           []bool // machines on which it has failed, by position; nil: none
	TasksInZone     []int  // of its tasks not done or now on machines, by zone

	// Image and preemption.
	Image                   []ImageState // what machines have of its image, by position, where that comes before the load index; nil: it does not
	FetchTooSlow            bool         // to fetch its image takes up the time in which it should start
	Urgent                  bool         // may preempt tasks of lower priority
	MayPreemptOpportunistic bool         // within its team's guarantee, for which work of opportunistic teams may be stopped

	// Gangs.
	Gang        bool // placed whole or not at all
	Anticipated bool // a gang that is still to come, for which room is kept free

	position int // in the list of jobs; set by the pass
}

// ImageState is what a machine has of a job's image.
type ImageState uint8

// The machine would have to fetch the image, fetches it, or has it.
const (
	ImageMissing ImageState = iota
	ImageFetching
	ImageReady
)
