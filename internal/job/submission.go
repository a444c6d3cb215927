package job

// This file decodes submissions, the job descriptions that users send.

import (
	"fmt"

	"tulipshelf/internal/wire"
)

// submission is the body of a submission before it is checked. Its fields are pointers, so that a
// missing field differs from a zero value. The codec tags are those of Spec.
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

// DecodeID decodes only the ID of a submission, so that the repeated submission of an existing job is
// recognised even if other fields are invalid. The error is a FieldError, or wraps that of the codec.
func DecodeID(body []byte) (string, error) {
	var s struct {
		ID wire.Raw `cbor:"uid"`
	}
	if err := wire.Unmarshal(body, &s); err != nil {
		return "", fmt.Errorf("job: %w", err)
	}
	var id string
	if err := wire.UnmarshalValue(s.ID, &id); err != nil || !ValidID(id) {
		return "", errInvalidID
	}
	return id, nil
}

// Decode decodes and checks a submission. The error is the FieldError of the first invalid field, or
// wraps that of the codec if the body cannot be decoded.
func Decode(body []byte) (*Spec, error) {
	var submitted submission
	if err := wire.Unmarshal(body, &submitted); err != nil {
		return nil, fmt.Errorf("job: %w", err)
	}
	var c checker
	spec := c.spec(&submitted)
	if c.err != nil {
		return nil, c.err
	}
	return spec, nil
}

// spec checks all fields and returns the job description, which is valid only if c.err is nil. The
// order of the checks determines which of several errors is reported to the user.
func (c *checker) spec(submitted *submission) *Spec {
	spec := &Spec{
		ID:          c.text("uid", submitted.ID),
		Class:       c.text("lane", submitted.Class),
		Team:        c.text("crew", submitted.Team),
		Shape:       Shape(c.text("shape", submitted.Shape)),
		Priority:    Priority(c.text("rank", submitted.Priority)),
		CPUs:        c.amount("cpus", submitted.CPUs),
		GPUs:        c.amount("gpus", submitted.GPUs),
		RAM:         c.amount("ram_gb", submitted.RAM),
		Image:       c.text("bundle", submitted.Image),
		ImageGB:     c.amount("image_gb", submitted.ImageGB),
		OneZone:     c.flag("same_place", submitted.OneZone),
		Apart:       c.flag("apart", submitted.Apart),
		Spot:        c.flag("loaners", submitted.Spot),
		ExpectS:     c.amount("expect_s", submitted.ExpectS),
		CheckpointS: c.amount("stash_every_s", submitted.CheckpointS),
		SaveS:       c.amount("stash_s", submitted.SaveS),
	}
	if submitted.DueS != nil {
		spec.DueS = c.amount("due_s", submitted.DueS)
	}
	c.id(spec.ID)
	c.shape("shape", spec.Shape)
	c.priority("rank", spec.Priority)
	spec.Tasks = c.taskCount("tickets", submitted.Tasks)
	if submitted.Types != nil {
		spec.Types = c.typeNames("builds", *submitted.Types)
	}
	if submitted.Zone != nil {
		spec.Zone = c.text("depot", submitted.Zone)
	}
	return spec
}
