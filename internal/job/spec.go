// Package job holds what the whole scheduler knows a job by: the checked description that its user
// submitted, and the identity of attempts to run its tasks. Its values are plain data: a Spec is not
// changed once it is made, and may be read from any goroutine.
package job

import "time"

// Shape says how a job's tasks run.
type Shape string

// The shapes, in the protocol's words.
const (
	Array   Shape = "array"    // each task runs once, on its own
	Service Shape = "service"  // tasks run until the job is cancelled
	Gang    Shape = "ensemble" // tasks run at the same time or not at all
)

func (s Shape) valid() bool { return s == Array || s == Service || s == Gang }

// Priority is what a job's user said of its urgency, in the protocol's words.
type Priority string

// The priorities, lowest first.
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

// MaxTasks is the protocol's limit on the tasks of one job.
const MaxTasks = 100_000

// Spec is a checked job description. It is stored under the same codec tags as it is submitted.
// Amounts are those of one task.
type Spec struct {
	ID          string   `cbor:"uid"`
	Class       string   `cbor:"lane"` // jobs of a class resemble each other; objectives are set for classes
	Team        string   `cbor:"crew"`
	Shape       Shape    `cbor:"shape"`
	Priority    Priority `cbor:"rank"`
	Tasks       int      `cbor:"tickets"` // 1 to MaxTasks
	CPUs        float64  `cbor:"cpus"`
	GPUs        float64  `cbor:"gpus"`
	RAM         float64  `cbor:"ram_gb"`        // GB
	Image       string   `cbor:"bundle"`        // name of the container image
	ImageGB     float64  `cbor:"image_gb"`      // GB
	Types       []string `cbor:"builds"`        // machine types that tasks may run on; nil: any
	Zone        string   `cbor:"depot"`         // zone that all tasks run in; "": any
	OneZone     bool     `cbor:"same_place"`    // all tasks run in one zone, whichever
	Apart       bool     `cbor:"apart"`         // no two tasks on one machine
	Spot        bool     `cbor:"loaners"`       // tasks may run on spot instances
	ExpectS     float64  `cbor:"expect_s"`      // seconds that its owner expects a task to run
	CheckpointS float64  `cbor:"stash_every_s"` // seconds between checkpoints; 0: none
	SaveS       float64  `cbor:"stash_s"`       // seconds that a checkpoint takes
	DueS        float64  `cbor:"due_s"`         // seconds from arrival to the deadline; 0: none
}

// Rank returns the rank of the job's priority, BestEffort to Critical.
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
