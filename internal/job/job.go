// Package job holds the description of a job as users submit it: its codec,
// its checks, and what a task of it needs.
package job

import (
	"fmt"
	"math"
	"time"

	"tulipshelf/internal/wire"
)

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

// submission has a pointer for each field, to tell missing from zero.
type submission struct {
	ID          *string   `cbor:"uid"`
	Class       *string   `cbor:"lane"`
	Team        *string   `cbor:"crew"`
	Shape       *string   `cbor:"shape"`
	Priority    *string   `cbor:"rank"`
	Tasks       *int64    `cbor:"tickets"`
	CPUs        *float64  `cbor:"cpus"`
	GPUs        *float64  `cbor:"gpus"`
	RAM         *float64  `cbor:"ram_gb"`
	Image       *string   `cbor:"bundle"`
	ImageGB     *float64  `cbor:"image_gb"`
	Types       *[]string `cbor:"builds"`
	Zone        *string   `cbor:"depot"`
	OneZone     *bool     `cbor:"same_place"`
	Apart       *bool     `cbor:"apart"`
	Spot        *bool     `cbor:"loaners"`
	ExpectS     *float64  `cbor:"expect_s"`
	CheckpointS *float64  `cbor:"stash_every_s"`
	SaveS       *float64  `cbor:"stash_s"`
	DueS        *float64  `cbor:"due_s"`
}

// DecodeID reads only the id of a submission, so that a repeated submission of
// a known job is recognised whatever else its body says.
func DecodeID(body []byte) (string, error) {
	var s struct {
		ID wire.Raw `cbor:"uid"`
	}
	if err := wire.Unmarshal(body, &s); err != nil {
		return "", fmt.Errorf("job: %w", err)
	}
	var id string
	if err := wire.UnmarshalValue(s.ID, &id); err != nil || !ValidID(id) {
		return "", fmt.Errorf("job: uid is not a job id")
	}
	return id, nil
}

// Decode reads and checks a submission.
func Decode(body []byte) (*Spec, error) {
	var s submission
	if err := wire.Unmarshal(body, &s); err != nil {
		return nil, fmt.Errorf("job: %w", err)
	}
	var fault error
	bad := func(field, why string) {
		if fault == nil {
			fault = fmt.Errorf("job: %s %s", field, why)
		}
	}
	text := func(field string, p *string) string {
		if p == nil || *p == "" || len(*p) > maxText {
			bad(field, "is missing, empty or too long")
			return ""
		}
		return *p
	}
	amount := func(field string, p *float64, optional bool) float64 {
		if p == nil {
			if !optional {
				bad(field, "is missing")
			}
			return 0
		}
		if math.IsNaN(*p) || *p < 0 || *p > 1e9 {
			bad(field, "is out of range")
		}
		return *p
	}
	flag := func(field string, p *bool) bool {
		if p == nil {
			bad(field, "is missing")
			return false
		}
		return *p
	}
	out := &Spec{
		ID:          text("uid", s.ID),
		Class:       text("lane", s.Class),
		Team:        text("crew", s.Team),
		Shape:       Shape(text("shape", s.Shape)),
		Priority:    text("rank", s.Priority),
		CPUs:        amount("cpus", s.CPUs, false),
		GPUs:        amount("gpus", s.GPUs, false),
		RAM:         amount("ram_gb", s.RAM, false),
		Image:       text("bundle", s.Image),
		ImageGB:     amount("image_gb", s.ImageGB, false),
		OneZone:     flag("same_place", s.OneZone),
		Apart:       flag("apart", s.Apart),
		Spot:        flag("loaners", s.Spot),
		ExpectS:     amount("expect_s", s.ExpectS, false),
		CheckpointS: amount("stash_every_s", s.CheckpointS, false),
		SaveS:       amount("stash_s", s.SaveS, false),
		DueS:        amount("due_s", s.DueS, true),
	}
	if !ValidID(out.ID) {
		bad("uid", "is not a job id")
	}
	if out.Shape != Array && out.Shape != Service && out.Shape != Gang {
		bad("shape", fmt.Sprintf("%.20q is unknown", string(out.Shape)))
	}
	if _, ok := priorities[out.Priority]; !ok {
		bad("rank", "is unknown")
	}
	if s.Tasks == nil || *s.Tasks < 1 || *s.Tasks > MaxTasks {
		bad("tickets", "is missing or out of range")
	} else {
		out.Tasks = int(*s.Tasks)
	}
	if s.Types != nil {
		out.Types = *s.Types
		for _, t := range out.Types {
			if t == "" || len(t) > maxText {
				bad("builds", "holds an empty or too long name")
			}
		}
	}
	if s.Zone != nil {
		out.Zone = text("depot", s.Zone)
	}
	if fault != nil {
		return nil, fault
	}
	return out, nil
}
