package api

import (
	"tulipshelf/internal/cloud"
	"tulipshelf/internal/config"
	"tulipshelf/internal/job"
	"tulipshelf/internal/wire"
)

// check returns the checked submission or the answer that refuses it.
func (h *Handler) check(body []byte) (*job.Spec, wire.Response) {
	spec, err := job.Decode(body)
	if err != nil {
		return nil, refuse(statusBadRequest, err.Error())
	}
	var team *config.Team
	for i := range h.cfg.Teams {
		if h.cfg.Teams[i].Name == spec.Team {
			team = &h.cfg.Teams[i]
		}
	}
	if team == nil {
		return nil, refuse(statusUnprocessableEntity, "unknown team")
	}
	tasks := 1.0
	if spec.Shape != job.Array {
		tasks = float64(spec.Tasks)
	}
	if spec.CPUs*tasks > team.MaxCPUs+1e-6 || spec.GPUs*tasks > team.MaxGPUs+1e-6 {
		return nil, refuse(statusUnprocessableEntity, "more than the team's limit")
	}
	types := h.cfg.MachineTypes()
	if types == nil {
		return nil, unavailable()
	}
	var allowed []string
	for i := range types {
		if Allows(spec, &types[i]) {
			allowed = append(allowed, types[i].Name)
		}
	}
	if len(allowed) == 0 {
		return nil, refuse(statusUnprocessableEntity, "fits no allowed machine type")
	}
	if spec.Types != nil {
		spec.Types = allowed
	}
	return spec, wire.Response{}
}

// Allows tells whether a task of the job can run on a machine type at all.
func Allows(s *job.Spec, t *cloud.Type) bool {
	if s.CPUs > t.CPUs || s.GPUs > t.GPUs || s.RAM > t.RAM {
		return false
	}
	in := func(list []string, name string) bool {
		for _, n := range list {
			if n == name {
				return true
			}
		}
		return false
	}
	return (s.Types == nil || in(s.Types, t.Name)) && (s.Zone == "" || in(t.Zones, s.Zone))
}
