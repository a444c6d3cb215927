package placement

// Feasibility: the machines on which a task may be placed.

import "math"

// AnyZone stands in place of the index of a zone where all zones are allowed.
const AnyZone = -1

// machineFilter restricts the machines that are considered for a job beyond the job's own constraints.
type machineFilter struct {
	zone       int  // dense index; AnyZone: all
	imageReady bool // only machines with the rank imageOnMachine
}

var (
	anyMachine        = machineFilter{zone: AnyZone}
	machinesWithImage = machineFilter{zone: AnyZone, imageReady: true}
)

// feasible reports whether a task of the job may be placed on a machine now.
func (p *pass) feasible(job *Job, machineIndex int, filter machineFilter) bool {
	machine := &p.machines[machineIndex]
	return machine.AcceptsTasks &&
		!job.avoids(machineIndex) &&
		machine.fits(job.Need) &&
		job.Allows(machine) &&
		p.passesFilter(job, machineIndex, filter)
}

func (p *pass) passesFilter(job *Job, machineIndex int, filter machineFilter) bool {
	if filter.zone >= 0 && p.machines[machineIndex].Zone != filter.zone {
		return false
	}
	return !filter.imageReady || p.imageRankOn(job, machineIndex) == imageOnMachine
}

// avoids reports whether the job must not be placed on a machine because it has failed there.
func (j *Job) avoids(machineIndex int) bool { return j.Avoid != nil && j.Avoid[machineIndex] }

// Allows reports whether the job's constraints on machine types, zones and spot instances allow another
// task on the machine, given the zones of the job's other tasks. It does not check the machine's free
// resources, AcceptsTasks, and failures of the job.
func (j *Job) Allows(machine *Machine) bool {
	if machine.Type < 0 {
		return false
	}
	if j.Types != nil && !j.Types[machine.Type] {
		return false
	}
	if machine.Spot && !j.Spot {
		return false
	}
	return j.zoneRoom(machine.Zone) > 0
}

// RoomByZone returns, by zone, how many further tasks of the job may be there, given the zones of its
// other tasks. It returns nil if these do not matter: any number may then be in each zone that Zone allows.
func (j *Job) RoomByZone() []int {
	if !j.OneZone && !j.SpreadOverZones {
		return nil
	}
	room := make([]int, len(j.TasksInZone))
	for zone := range room {
		room[zone] = j.zoneRoom(zone)
	}
	return room
}

// zoneRoom returns how many further tasks of the job may be in a zone; math.MaxInt: any number.
func (j *Job) zoneRoom(zone int) int {
	switch {
	case zone < 0 || zone >= len(j.TasksInZone):
		return 0
	case j.Zone >= 0 && j.Zone != zone:
		return 0
	case j.OneZone && j.hasTasksOutside(zone):
		return 0
	case j.SpreadOverZones:
		return max(0, j.maxTasksPerZone()-j.TasksInZone[zone])
	}
	return math.MaxInt
}

// maxTasksPerZone returns the maximum number of tasks in one zone, for a job that is spread over zones:
// half of its tasks, rounded up.
func (j *Job) maxTasksPerZone() int { return (j.Tasks + 1) / 2 }

func (j *Job) hasTasksOutside(zone int) bool {
	for other, tasks := range j.TasksInZone {
		if tasks > 0 && other != zone {
			return true
		}
	}
	return false
}
