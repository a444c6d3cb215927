package controller

// Requests with which users submit jobs to a test cluster.

import (
	"fmt"

	"tulipshelf/internal/job"
)

// Priorities on the wire, below and above the default "standard".
const (
	lowPriority  = "best_effort"
	highPriority = "high"
)

// jobRequest is the body of a submission: values by the names of their fields on the wire. It is a map, not
// a struct, so that tests can send wrong, missing or unknown fields.
type jobRequest map[string]any

// jobID returns the ID of the i-th job.
func jobID(i int) string { return fmt.Sprintf("wk-%06d", i) }

// newJob returns a valid request of the team for tasks of one CPU. Each task runs for the given number of
// seconds, which services ignore.
func newJob(id string, shape job.Shape, tasks int, seconds float64) jobRequest {
	return jobRequest{"uid": id, "lane": "class", "crew": team, "shape": string(shape), "rank": "standard",
		"tickets": tasks, "cpus": 1.0, "gpus": 0.0, "ram_gb": 2.0, "bundle": "img", "image_gb": 1.0,
		"same_place": false, "apart": false, "loaners": false, "expect_s": seconds, "stash_every_s": 0.0, "stash_s": 0.0}
}

// with sets a field, given by its name on the wire, in r and returns r. A nil value is sent as null.
func (r jobRequest) with(field string, value any) jobRequest {
	r[field] = value
	return r
}

func (r jobRequest) withID(id string) jobRequest       { return r.with("uid", id) }
func (r jobRequest) ofClass(class string) jobRequest   { return r.with("lane", class) }
func (r jobRequest) ofTeam(name string) jobRequest     { return r.with("crew", name) }
func (r jobRequest) withPriority(p string) jobRequest  { return r.with("rank", p) }
func (r jobRequest) withImage(image string) jobRequest { return r.with("bundle", image) }
func (r jobRequest) inZone(zone string) jobRequest     { return r.with("depot", zone) }
func (r jobRequest) inOneZone() jobRequest             { return r.with("same_place", true) }
func (r jobRequest) withResources(cpus, gb float64) jobRequest {
	return r.with("cpus", cpus).with("ram_gb", gb)
}

// withCheckpoints makes tasks save a checkpoint every 10 s and when they are stopped with a grace period.
// Saving one takes 2 s.
func (r jobRequest) withCheckpoints() jobRequest {
	return r.with("stash_every_s", 10.0).with("stash_s", 2.0)
}
