package api

// This file checks submissions without reading the key-value store: the fields, the team's quota, and
// whether any machine type fits.

import (
	"errors"
	"fmt"
	"slices"

	"tulipshelf/internal/cloud"
	"tulipshelf/internal/config"
	"tulipshelf/internal/job"
	"tulipshelf/internal/wire"
)

// validationError is the reason for which a submission is refused and should not be repeated.
type validationError struct {
	status int    // HTTP status of the response
	reason string // text in the body of the response
}

func (e *validationError) Error() string {
	return fmt.Sprintf("api: submission refused with status %d: %s", e.status, e.reason)
}

// Errors of submissions that cannot be accepted now but may be accepted later.
var (
	errCatalogUnknown    = errors.New("api: catalog of machine types not loaded yet")
	errGangsNotSupported = errors.New("api: not all controllers support gangs")
)

// quotaTolerance is the amount, in CPUs or GPUs, by which a job may exceed its team's limit. Products
// of fractional amounts are not exact.
const quotaTolerance = 1e-6

// validate decodes and checks a submission. The error is a *validationError, errCatalogUnknown or
// errGangsNotSupported. If the submission names machine types, the result keeps only those on which a
// task can run.
func (h *Handler) validate(body []byte) (*job.Spec, error) {
	spec, err := job.Decode(body)
	if err != nil {
		return nil, &validationError{wire.StatusBadRequest, err.Error()}
	}
	if err := h.validateQuota(spec); err != nil {
		return nil, err
	}
	machineTypes := h.cfg.MachineTypes()
	if machineTypes == nil {
		return nil, errCatalogUnknown
	}
	allowed := allowedTypes(spec, machineTypes)
	if len(allowed) == 0 {
		return nil, &validationError{wire.StatusUnprocessable, "fits no allowed machine type"}
	}
	if spec.Types != nil {
		spec.Types = allowed
	}
	if spec.Shape == job.Gang && !h.cfg.GangsSupported() {
		return nil, errGangsNotSupported
	}
	return spec, nil
}

// validateQuota returns a *validationError if the team does not exist, or if its limit is too low for
// the tasks that have to run at the same time: one task of an array, all tasks of any other job.
func (h *Handler) validateQuota(spec *job.Spec) error {
	isTeam := func(team config.Team) bool { return team.Name == spec.Team }
	index := slices.IndexFunc(h.cfg.Teams, isTeam)
	if index < 0 {
		return &validationError{wire.StatusUnprocessable, "unknown team"}
	}
	concurrentTasks := 1.0
	if spec.Shape != job.Array {
		concurrentTasks = float64(spec.Tasks)
	}
	team := &h.cfg.Teams[index]
	cpusExceeded := spec.CPUs*concurrentTasks > team.MaxCPUs+quotaTolerance
	gpusExceeded := spec.GPUs*concurrentTasks > team.MaxGPUs+quotaTolerance
	if cpusExceeded || gpusExceeded {
		return &validationError{wire.StatusUnprocessable, "more than the team's limit"}
	}
	return nil
}

// allowedTypes returns the names of the machine types on which a task of the job can run, or nil if
// there are none.
func allowedTypes(spec *job.Spec, machineTypes []cloud.Type) []string {
	var names []string
	for i := range machineTypes {
		if Allows(spec, &machineTypes[i]) {
			names = append(names, machineTypes[i].Name)
		}
	}
	return names
}

// Allows reports whether a task of the job can run on an empty machine of the given type: the machine
// is large enough, the job allows the type, and the type is offered in the job's zone if it names one.
func Allows(spec *job.Spec, machineType *cloud.Type) bool {
	tooSmall := spec.CPUs > machineType.CPUs || spec.GPUs > machineType.GPUs || spec.RAM > machineType.RAM
	typeAllowed := spec.Types == nil || slices.Contains(spec.Types, machineType.Name)
	zoneAllowed := spec.Zone == "" || slices.Contains(machineType.Zones, spec.Zone)
	return !tooSmall && typeAllowed && zoneAllowed
}
