package placement

// Jobs in the snapshot of a pass.

// Job is a job with waiting tasks in the snapshot of a pass. It is identified by its position in the list
// of jobs.
type Job struct {
	// Order of placement. BeyondGuarantee is set for a job that does not fit into its team's guarantee
	// together with the team's jobs that claim it earlier, except for each team's first waiting gang.
	// For anticipated gangs it is set if it is set for any waiting gang (reservations in package leader).
	// InverseResponseRatio is, for an array, the run time of its waiting tasks / (time since submission +
	// run time of one task).
	Priority             int     // higher values are placed first
	BeyondGuarantee      bool    // placed after jobs of the same priority for which it is not set
	InverseResponseRatio float64 // lower values are placed first; 0 unless an array
	Arrival              uint64  // lower values are placed first
	Overdue              bool    // submitted longer ago than the limit, and no task is live or done

	// Resources and numbers of tasks.
	Team    int     // position in the list of teams
	Need    Amounts // resources of one task
	Waiting int     // number of tasks that wait for a machine
	Tasks   int     // number of all tasks, live and done ones included

	// Constraints on machines.
	Types           []bool // allowed machine types, by dense index; nil: any
	Zone            int    // dense index of the required zone; AnyZone: any
	Spot            bool   // may run on spot instances
	OneZone         bool   // all of its tasks in the same zone, whichever
	SpreadOverZones bool   // at most half of its tasks, rounded up, in one zone
	Avoid           []bool // machines on which it has failed, by position; nil: none
	TasksInZone     []int  // live tasks by zone, 0 if neither of the two is set; the pass adds those that it places or preempts for

	// Image and preemption.
	Image                   []ImageState // by machine, compared before the load index; nil: not compared
	FetchTooSlow            bool         // a fetch of its image takes up the time in which it should start
	Urgent                  bool         // may preempt tasks of lower priority
	MayPreemptOpportunistic bool         // may preempt tasks of opportunistic teams (isPreemptible)
	MayReclaim              bool         // may preempt what other teams run beyond their guarantees

	// Gangs.
	Gang        bool // all of its waiting tasks are placed in one pass, or none
	Anticipated bool // anticipated gang, not submitted yet; machines are reserved for it, nothing is placed

	position int // position in the list of jobs; set by newPass
}

// ImageState is the state of a job's image on a machine.
type ImageState uint8

// The states of an image on a machine.
const (
	ImageMissing  ImageState = iota // would have to be fetched
	ImageFetching                   // is being fetched
	ImageReady                      // is on the machine
)
