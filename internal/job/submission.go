package job

import (
	"fmt"

	"tulipshelf/internal/wire"
)

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

// Decode reads and checks a submission. The error names the first field that is wrong.
func Decode(body []byte) (*Spec, error) {
	var s submission
	if err := wire.Unmarshal(body, &s); err != nil {
		return nil, fmt.Errorf("job: %w", err)
	}
	var c checker
	out := &Spec{
		ID:          c.text("uid", s.ID),
		Class:       c.text("lane", s.Class),
		Team:        c.text("crew", s.Team),
		Shape:       Shape(c.text("shape", s.Shape)),
		Priority:    c.text("rank", s.Priority),
		CPUs:        c.amount("cpus", s.CPUs),
		GPUs:        c.amount("gpus", s.GPUs),
		RAM:         c.amount("ram_gb", s.RAM),
		Image:       c.text("bundle", s.Image),
		ImageGB:     c.amount("image_gb", s.ImageGB),
		OneZone:     c.flag("same_place", s.OneZone),
		Apart:       c.flag("apart", s.Apart),
		Spot:        c.flag("loaners", s.Spot),
		ExpectS:     c.amount("expect_s", s.ExpectS),
		CheckpointS: c.amount("stash_every_s", s.CheckpointS),
		SaveS:       c.amount("stash_s", s.SaveS),
	}
	if s.DueS != nil {
		out.DueS = c.amount("due_s", s.DueS)
	}
	c.id(out.ID)
	c.shape(out.Shape)
	c.priority(out.Priority)
	out.Tasks = c.tasks(s.Tasks)
	if s.Types != nil {
		out.Types = c.types(*s.Types)
	}
	if s.Zone != nil {
		out.Zone = c.text("depot", s.Zone)
	}
	if c.fault != nil {
		return nil, c.fault
	}
	return out, nil
}
