package placement

// Feasibility: which machines may take a task at all.

// AnyZone stands for a zone where none is asked for.
const AnyZone = -1

// machineFilter limits the machines that are considered for a job beyond what the job itself asks for.
type machineFilter struct {
	zone       int  // AnyZone: all
	imageReady bool // only machines that have the job's image
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
		machine.Free.Fits(job.Need) &&
		job.Allows(machine) &&
		p.passesFilter(job, machineIndex, filter)
}

func (p *pass) passesFilter(job *Job, machineIndex int, filter machineFilter) bool {
	if filter.zone >= 0 && p.machines[machineIndex].Zone != filter.zone {
		return false
	}
	return !filter.imageReady || p.imageRankOn(job, machineIndex) == imageOnMachine
}

// avoids reports whether the job has failed on a machine and is kept off it.
func (j *Job) avoids(machineIndex int) bool { return j.Avoid != nil && j.Avoid[machineIndex] }

// Allows reports whether a task of j may start on the machine by its type, its zone and its price, given
// where j's other tasks are. Room on the machine, and whether it is open, are left out.
func (j *Job) Allows(machine *Machine) bool {
	if machine.Type < 0 || machine.Zone < 0 || machine.Zone >= len(j.TasksInZone) {
		return false
	}
	if j.Types != nil && !j.Types[machine.Type] {
		return false
	}
	if j.Zone >= 0 && j.Zone != machine.Zone {
		return false
	}
	if machine.Spot && !j.Spot {
		return false
	}
	if j.SpreadOverZones && j.TasksInZone[machine.Zone] >= j.maxTasksPerZone() {
		return false
	}
	return !j.OneZone || !j.hasTasksOutside(machine.Zone)
}

// maxTasksPerZone returns how many tasks of a job that is to be spread over zones may be in one: half of
// them, rounded up.
func (j *Job) maxTasksPerZone() int { return (j.Tasks + 1) / 2 }

func (j *Job) hasTasksOutside(zone int) bool {
	for other, tasks := range j.TasksInZone {
		if tasks > 0 && other != zone {
			return true
		}
	}
	return false
}
