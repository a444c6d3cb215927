// Package job defines what all parts of the scheduler share about a job: the checked description that
// its user submitted, and the identity of attempts to run its tasks. Its values are plain data. A Spec
// is not changed after its submission is accepted, and may be read by any goroutine.
package job

import "time"

// Shape is the way in which the tasks of a job run.
type Shape string

// The shapes. The values are defined by the protocol.
const (
	Array   Shape = "array"    // each task runs once, independently of the others
	Service Shape = "service"  // tasks run until the job is cancelled
	Gang    Shape = "ensemble" // all tasks run at the same time or not at all
)

func (s Shape) valid() bool { return s == Array || s == Service || s == Gang }

// Priority is the urgency of a job as given by its user.
type Priority string

// The priorities, lowest first. The values are defined by the protocol.
const (
	PriorityBestEffort Priority = "best_effort"
	PriorityStandard   Priority = "standard"
	PriorityHigh       Priority = "high"
	PriorityCritical   Priority = "critical"
)

// Ranks of the priorities: a higher priority has a higher rank.
const (
	RankBestEffort = iota
	RankStandard
	RankHigh
	RankCritical
)

var ranks = map[Priority]int{
	PriorityBestEffort: RankBestEffort,
	PriorityStandard:   RankStandard,
	PriorityHigh:       RankHigh,
	PriorityCritical:   RankCritical,
}

func (p Priority) valid() bool {
	_, ok := ranks[p]
	return ok
}

// MaxTasks is the protocol's limit on the number of tasks of one job.
const MaxTasks = 100_000

// Spec is a checked job description. It is stored with the codec tags of submissions. Amounts of
// resources are per task.
type Spec struct {
	ID          string   `cbor:"uid"`
	Class       string   `cbor:"lane"` // class of similar jobs; objectives are set per class
	Team        string   `cbor:"crew"`
	Shape       Shape    `cbor:"shape"`
	Priority    Priority `cbor:"rank"`
	Tasks       int      `cbor:"tickets"` // number of tasks, 1 to MaxTasks
	CPUs        float64  `cbor:"cpus"`
	GPUs        float64  `cbor:"gpus"`
	RAM         float64  `cbor:"ram_gb"`        // GB
	Image       string   `cbor:"bundle"`        // name of the container image
	ImageGB     float64  `cbor:"image_gb"`      // size of the container image, in GB
	Types       []string `cbor:"builds"`        // machine types allowed for tasks; nil: any
	Zone        string   `cbor:"depot"`         // zone required for all tasks; "": any
	OneZone     bool     `cbor:"same_place"`    // whether all tasks have to share one zone, whichever
	Apart       bool     `cbor:"apart"`         // whether at most half of the tasks, rounded up, may run in one zone
	Spot        bool     `cbor:"loaners"`       // whether tasks may run on spot instances
	ExpectS     float64  `cbor:"expect_s"`      // owner's estimate of a task's run time, in seconds
	CheckpointS float64  `cbor:"stash_every_s"` // interval between checkpoints, in seconds; 0: none
	SaveS       float64  `cbor:"stash_s"`       // duration of saving a checkpoint, in seconds
	DueS        float64  `cbor:"due_s"`         // deadline, in seconds after arrival; 0: none
}

// Rank returns the rank of the job's priority, from RankBestEffort to RankCritical.
func (s *Spec) Rank() int { return ranks[s.Priority] }

// Expect returns the owner's estimate of a task's run time.
func (s *Spec) Expect() time.Duration { return time.Duration(s.ExpectS * float64(time.Second)) }

const (
	idPrefix = "wk-"
	idDigits = 6
)

// ValidID reports whether id has the form of job IDs, such as wk-000412.
func ValidID(id string) bool {
	if len(id) != len(idPrefix)+idDigits || id[:len(idPrefix)] != idPrefix {
		return false
	}
	for _, digit := range id[len(idPrefix):] {
		if digit < '0' || digit > '9' {
			return false
		}
	}
	return true
}
