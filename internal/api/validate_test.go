package api

import (
	"testing"

	"tulipshelf/internal/cloud"
	"tulipshelf/internal/fake"
	"tulipshelf/internal/job"
)

// invalidSubmissions are submissions that are refused permanently, each for one invalid field.
var invalidSubmissions = []struct {
	name, field string
	value       any
	httpStatus  int
}{
	{"bad ID", "uid", "wk-1", 400},
	{"bad field", "shape", "tree", 400},
	{"missing field", "loaners", nil, 400},
	{"unknown team", "crew", "guests", 422},
	{"a task over the quota", "cpus", 33.0, 422},
	{"a service over the quota", "shape", "service", 422},
	{"larger than every machine type", "ram_gb", 65.0, 422},
	{"machine type unknown", "builds", []string{"medium"}, 422},
	{"zone unknown", "depot", "north", 422},
}

func TestSubmitInvalid(t *testing.T) {
	for _, c := range invalidSubmissions {
		t.Run(c.name, func(t *testing.T) {
			inBubble(t, func(t *testing.T, f *fixture) {
				invalid := submission("wk-000001")
				invalid[c.field] = c.value
				f.expectRefused(f.submit(invalid), c.httpStatus)
				if keys := f.store.Keys(""); len(keys) != 0 {
					t.Errorf("a refused submission was recorded: %v", keys)
				}
				if c.field == "uid" {
					return
				}
				f.mustSubmit("wk-000001")
				f.expect(f.submit(invalid), 200, StatusPending) // the job exists, so it is not refused
				f.store.SetFaults(fake.StoreFaults{Down: true})
				f.expectUnavailable(f.submit(invalid)) // the job may exist, so it is not refused
			})
		})
	}
}

// Each requirement of a job is checked on its own.
func TestAllows(t *testing.T) {
	machineType := &cloud.Type{Name: "large", CPUs: 16, GPUs: 1, RAM: 64, Zones: []string{"east"}}
	for _, c := range []struct {
		name string
		spec job.Spec
		want bool
	}{
		{"fills the machine", job.Spec{CPUs: 16, GPUs: 1, RAM: 64}, true},
		{"too many CPUs", job.Spec{CPUs: 16.5}, false},
		{"too many GPUs", job.Spec{GPUs: 2}, false},
		{"too much memory", job.Spec{RAM: 65}, false},
		{"type named", job.Spec{Types: []string{"small", "large"}}, true},
		{"other type named", job.Spec{Types: []string{"small"}}, false},
		{"no type allowed", job.Spec{Types: []string{}}, false},
		{"zone offered", job.Spec{Zone: "east"}, true},
		{"zone not offered", job.Spec{Zone: "west"}, false},
	} {
		if got := Allows(&c.spec, machineType); got != c.want {
			t.Errorf("%s: Allows returned %v, want %v", c.name, got, c.want)
		}
	}
}
