package placement

// Job is a job with waiting tasks.
type Job struct {
	Team            int
	Priority        int
	Arrival         uint64
	Ratio           float64 // work left over time waited; the less, the sooner
	BeyondGuarantee bool    // its team has more unfinished work than it is guaranteed
	Need            Amounts
	Waiting         int
	Types           []bool // allowed by dense type; nil: any
	Zone            int    // -1: any
	Spot            bool
	OneZone         bool
	Apart           bool
	Gang            bool    // placed whole or not at all
	Reservation     bool    // a gang that is not there yet, for which room is kept free
	Tasks           int     // of the job in all
	TasksInZone     []int   // of its tasks not done or now on machines, by zone
	Urgent          bool    // may preempt
	MayDisplace     bool    // within its team's guarantee, for which work of teams without a guarantee may be stopped
	Overdue         bool    // has waited too long with none of its tasks begun
	Avoid           []bool  // machines on which it has failed; nil: none
	Image           []Image // what machines have of its image, where that comes before the index; nil: nowhere
	FetchTooSlow    bool    // to fetch its image takes up the time in which it should start
}

// Image is what a machine has of a job's image.
type Image uint8

// Whether a machine would have to fetch an image, fetches it, or has it.
const (
	Cold Image = iota
	Coming
	Warm
)
