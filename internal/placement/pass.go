package placement

import "time"

// pass is the state of one pass.
type pass struct {
	now      time.Time
	machines []Machine
	teams    []Team
	plan     Plan

	noRoom            map[equivalenceClass]bool              // kinds of task that no machine has room for in this pass
	preemptionOptions map[preemptionClaim][]preemptionOption // what making room for a task would cost, by machine
	ownsTasks         []bool                                 // machines whose tasks are this pass's own copy
	taskEnds          [][]taskEnd                            // of the tasks by machine; nil: not yet worked out
	gangNoRoom        map[equivalenceClass]int               // least number of a gang's tasks for which there is no room
	// Least number of a gang's tasks for which others cannot be stopped.
	gangNoPreemption map[gangPreemptionClass]int
	futureSlots      map[equivalenceClass]futureSlotList // room for gangs' tasks as others end
	machineChanges   int                                 // of machines so far, those rolled back left out
	savepoint        *savepoint                          // of the try under way; nil: of none
	starvedJobs      []*Job                              // that wait for a machine, stop nothing for it, and come before the rest
}

func newPass(now time.Time, machines []Machine, teams []Team, jobs int) *pass {
	return &pass{now: now, machines: machines, teams: teams, plan: Plan{Unplaced: make([]int, jobs)},
		noRoom: map[equivalenceClass]bool{}, preemptionOptions: map[preemptionClaim][]preemptionOption{}, ownsTasks: make([]bool, len(machines)), taskEnds: make([][]taskEnd, len(machines)),
		gangNoRoom: map[equivalenceClass]int{}, gangNoPreemption: map[gangPreemptionClass]int{}, futureSlots: map[equivalenceClass]futureSlotList{}}
}
