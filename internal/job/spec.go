// Package job holds the description of a job as users submit it: its codec,
// its checks, and what a task of it needs.
package job

import "time"

// Shape says how a job's tasks run.
type Shape string

// The shapes. The tasks of a gang run at the same time or not at all.
const (
	Array   Shape = "array"
	Service Shape = "service"
	Gang    Shape = "ensemble"
)

// Priorities, lowest first.
const (
	BestEffort = iota
	Standard
	High
	Critical
)

var priorities = map[string]int{"best_effort": BestEffort, "standard": Standard, "high": High, "critical": Critical}

// MaxTasks is the protocol's limit for one job.
const MaxTasks = 100_000

const maxText = 200

// Spec is a checked job description. Its codec tags are the protocol's words.
type Spec struct {
	ID          string   `cbor:"uid"`
	Class       string   `cbor:"lane"`
	Team        string   `cbor:"crew"`
	Shape       Shape    `cbor:"shape"`
	Priority    string   `cbor:"rank"`
	Tasks       int      `cbor:"tickets"`
	CPUs        float64  `cbor:"cpus"`
	GPUs        float64  `cbor:"gpus"`
	RAM         float64  `cbor:"ram_gb"`
	Image       string   `cbor:"bundle"`
	ImageGB     float64  `cbor:"image_gb"`
	Types       []string `cbor:"builds"` // nil: any
	Zone        string   `cbor:"depot"`  // "": any
	OneZone     bool     `cbor:"same_place"`
	Apart       bool     `cbor:"apart"`
	Spot        bool     `cbor:"loaners"`
	ExpectS     float64  `cbor:"expect_s"`
	CheckpointS float64  `cbor:"stash_every_s"`
	SaveS       float64  `cbor:"stash_s"`
	DueS        float64  `cbor:"due_s"` // 0: no deadline
}

// Rank returns the priority as a number that grows with it.
func (s *Spec) Rank() int { return priorities[s.Priority] }

// Expect returns the owner's estimate of a task's run time.
func (s *Spec) Expect() time.Duration { return time.Duration(s.ExpectS * float64(time.Second)) }

// ValidID tells whether id has the form of job ids.
func ValidID(id string) bool {
	if len(id) != 9 || id[:3] != "wk-" {
		return false
	}
	for _, c := range id[3:] {
		if c < '0' || c > '9' {
			return false
		}
	}
	return true
}
