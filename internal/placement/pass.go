package placement

// The state of a pass: its snapshot, the plan so far, and what the phases remember from job to job.

import "time"

// pass is the state of one pass. Machines and jobs are named by their positions in the caller's lists.
type pass struct {
	now      time.Time
	machines []Machine
	teams    []Team
	plan     Plan

	// Copy on write, and the rollback of trials (rollback.go).
	ownsTasks      []bool     // machines whose Tasks are this pass's own copy; others are copied before the first write
	machineChanges int        // number of changes of machines so far; a rollback takes its changes back
	savepoint      *savepoint // of the trial under way; nil outside a trial

	// What one task or gang found out and others in this pass need not look for again.
	infeasibleClasses     map[equivalenceClass]bool              // no machine has room for a task of this class
	unplaceableGangSize   map[gangClass]int                      // least size of a gang for which there is no room
	unpreemptableGangSize map[gangPreemptionClass]int            // least size of a gang for which preemption makes no room
	preemptionOptions     map[preemptionClaim][]preemptionOption // by machine
	taskEnds              [][]taskEnd                            // by machine; nil: not yet worked out
	futureSlots           map[gangClass]futureSlotList           // for reservations

	starvedJobs []*Job // those that found no machine, preempt nothing, and come before the jobs that follow
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

// invalidateTasksOn drops what was remembered of the tasks on a machine. It is called whenever they change.
func (p *pass) invalidateTasksOn(machineIndex int) {
	p.taskEnds[machineIndex] = nil
	for _, options := range p.preemptionOptions {
		options[machineIndex].state = optionUnknown
	}
}
