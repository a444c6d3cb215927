package placement

import (
	"math"
	"time"
)

// Machine is a machine as placement sees it. Its position in the list is its
// dense index.
type Machine struct {
	Open  bool // takes new tasks
	Type  int
	Zone  int
	Spot  bool
	Free  Amounts
	Load  float64 // the index
	Fetch bool    // fetches an image
	Tasks []Task  // booked tasks, for preemption
}

// Task is a booked task.
type Task struct {
	ID               int // the caller's
	Need             Amounts
	Priority         int
	Team             int
	StartedAt        time.Time
	MembersElsewhere int       // tasks on other machines that lose as much when it is stopped
	EndsAt           time.Time // when it ends by itself, about; zero: it does not
	Stopping         bool
}

// left is for how long a task stays, about. One that has run for longer than was expected
// is expected to run for a quarter longer.
func (t *Task) left(now time.Time) time.Duration {
	switch {
	case t.Stopping:
		return 0
	case t.EndsAt.IsZero():
		return math.MaxInt64
	}
	return max(t.EndsAt.Sub(now), now.Sub(t.StartedAt)/4)
}

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

// Team is a team's limit and what its tasks use now.
type Team struct {
	CPUsMax, GPUsMax float64
	CPUsUsed         float64
	GPUsUsed         float64
	Opportunistic    bool    // has no guarantee
	stopped          Amounts // of its tasks that stop for others, and still count
}

func (t *Team) room(n Amounts) bool {
	return t.CPUsUsed+n[CPU] <= t.CPUsMax+eps && t.GPUsUsed+n[GPU] <= t.GPUsMax+eps
}

// over returns by how much the team would be over its limit with n more, once
// those that stop have stopped.
func (t *Team) over(n Amounts) Amounts {
	var out Amounts
	if d := t.CPUsUsed - t.stopped[CPU] + n[CPU] - t.CPUsMax; d > eps {
		out[CPU] = d
	}
	if d := t.GPUsUsed - t.stopped[GPU] + n[GPU] - t.GPUsMax; d > eps {
		out[GPU] = d
	}
	return out
}

func (t *Team) use(n Amounts, k float64) {
	t.CPUsUsed += k * n[CPU]
	t.GPUsUsed += k * n[GPU]
}

// Assignment sends one task of a job to a machine.
type Assignment struct {
	Job     int // position in the list of jobs
	Machine int
}

// Preemption asks for a task to be stopped to make room for a job.
type Preemption struct {
	Machine int
	Task    int // ID
	For     int // position in the list of jobs
}

// Plan is the outcome of one pass.
type Plan struct {
	Assignments []Assignment
	Preemptions []Preemption
	Unplaced    []int // by position of the job: tasks that found no machine though the team had room
}

// fits tells whether the team may use n more of a task's amounts.
func (t *Team) fits(need Amounts, n int) bool {
	k := float64(n)
	return t.CPUsUsed+k*need[CPU] <= t.CPUsMax+eps && t.GPUsUsed+k*need[GPU] <= t.GPUsMax+eps
}

func (j *Job) avoids(machine int) bool { return j.Avoid != nil && j.Avoid[machine] }

// Allows tells whether a task of j may start on m, given j's other tasks.
func (j *Job) Allows(m *Machine) bool {
	if m.Type < 0 || m.Zone < 0 || m.Zone >= len(j.TasksInZone) {
		return false
	}
	if j.Types != nil && !j.Types[m.Type] || j.Zone >= 0 && j.Zone != m.Zone || m.Spot && !j.Spot {
		return false
	}
	if j.Apart && j.TasksInZone[m.Zone] >= (j.Tasks+1)/2 {
		return false
	}
	if j.OneZone {
		for z, n := range j.TasksInZone {
			if n > 0 && z != m.Zone {
				return false
			}
		}
	}
	return true
}
