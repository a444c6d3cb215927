package placement

// The state of a pass: its snapshot, the plan so far, and results that are cached from job to job.

import "time"

// pass is the state of one pass. Machines and jobs are identified by their positions in the caller's
// lists.
type pass struct {
	now      time.Time
	machines []Machine
	teams    []Team
	plan     Plan

	// Copy-on-write of tasks, and rollback (rollback.go).
	ownsTasks      []bool     // machines whose Tasks are a copy of this pass; others are copied before a write
	machineChanges int        // number of changes of machines so far, without those rolled back
	savepoint      *savepoint // state that rollBack restores; nil: none

	// Results for one task or gang that are reused for later ones in this pass. The two gang sizes are
	// the smallest numbers of waiting tasks that did not fit, without and with preemption.
	infeasibleClasses     map[equivalenceClass]bool // true: no machine has room for a task of the class
	unplaceableGangSize   map[gangClass]int
	unpreemptableGangSize map[gangPreemptionClass]int
	preemptionOptions     map[preemptionClaim][]preemptionOption // by position of the machine
	taskEnds              [][]taskEnd                            // by position of the machine; nil: not computed
	futureSlots           map[gangClass]futureSlotList           // slots for reservations

	reclaim reclaimState // return of borrowed work

	// starvedJobs holds the services and arrays handled so far that are not urgent and have tasks that
	// found no machine although their team's limit allows another task.
	starvedJobs []*Job
}

func newPass(now time.Time, machines []Machine, jobs []Job, teams []Team) *pass {
	for position := range jobs {
		jobs[position].position = position
	}
	return &pass{
		now:                   now,
		machines:              machines,
		teams:                 teams,
		plan:                  Plan{Unplaced: make([]int, len(jobs))},
		ownsTasks:             make([]bool, len(machines)),
		infeasibleClasses:     map[equivalenceClass]bool{},
		unplaceableGangSize:   map[gangClass]int{},
		unpreemptableGangSize: map[gangPreemptionClass]int{},
		preemptionOptions:     map[preemptionClaim][]preemptionOption{},
		taskEnds:              make([][]taskEnd, len(machines)),
		futureSlots:           map[gangClass]futureSlotList{},
	}
}

// teamOf returns the team of a job.
func (p *pass) teamOf(job *Job) *Team { return &p.teams[job.Team] }

// invalidateTasksOn drops the cached results that depend on the tasks on a machine. It has to be called
// after each change of these tasks.
func (p *pass) invalidateTasksOn(machineIndex int) {
	p.taskEnds[machineIndex] = nil
	p.invalidateOptionsOn(machineIndex)
}

// invalidateOptionsOn drops the cached choices of victims on a machine. It has to be called after each
// change of the machine's free resources.
func (p *pass) invalidateOptionsOn(machineIndex int) {
	for _, options := range p.preemptionOptions {
		options[machineIndex].state = optionUnknown
	}
	if search := p.reclaim.search; search != nil && search.options != nil {
		search.options[machineIndex].state = optionUnknown
	}
}
