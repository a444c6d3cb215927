package placement

// machineFilter limits the machines that are looked at for a job.
type machineFilter struct {
	zone       int  // -1: any
	imageReady bool // only those that have the job's image
}

var (
	anywhere  = machineFilter{zone: -1}
	withImage = machineFilter{zone: -1, imageReady: true}
)

// feasible tells whether a task of j may be placed on a machine.
func (p *pass) feasible(j *Job, i, only int) bool {
	m := &p.machines[i]
	return m.Open && !j.avoids(i) && m.Free.Fits(j.Need) && j.Allows(m) && (only < 0 || m.Zone == only)
}

// Allows tells whether a task of j may start on m, given j's other tasks.
func (j *Job) Allows(m *Machine) bool {
	if m.Type < 0 || m.Zone < 0 || m.Zone >= len(j.TasksInZone) {
		return false
	}
	if j.Types != nil && !j.Types[m.Type] || j.Zone >= 0 && j.Zone != m.Zone || m.Spot && !j.Spot {
		return false
	}
	if j.Apart && j.TasksInZone[m.Zone] >= (j.Tasks+1)/2 {
		return false
	}
	if j.OneZone {
		for z, n := range j.TasksInZone {
			if n > 0 && z != m.Zone {
				return false
			}
		}
	}
	return true
}

func (j *Job) avoids(machine int) bool { return j.Avoid != nil && j.Avoid[machine] }
