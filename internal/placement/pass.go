package placement

import "time"

// planner is the state of one pass.
type planner struct {
	now      time.Time
	machines []Machine
	teams    []Team
	out      Plan

	full    map[kind]bool      // kinds of task that no machine has room for in this pass
	victims map[claim][]victim // what making room for a task would cost, by machine
	own     []bool             // machines whose tasks are this pass's own copy
	ends    [][]ending         // of the tasks by machine; nil: not yet worked out
	short   map[kind]int       // least number of a gang's tasks for which there is no room
	// Least number of a gang's tasks for which others cannot be stopped.
	unstoppable map[stopKind]int
	gaps        map[kind]gapList // room for gangs' tasks as others end
	changes     int              // of machines so far, those rolled back left out
	saved       *savepoint       // of the try under way; nil: of none
	starved     []*Job           // that wait for a machine, stop nothing for it, and come before the rest
}

func newPlanner(now time.Time, machines []Machine, teams []Team, jobs int) *planner {
	return &planner{now: now, machines: machines, teams: teams, out: Plan{Unplaced: make([]int, jobs)},
		full: map[kind]bool{}, victims: map[claim][]victim{}, own: make([]bool, len(machines)), ends: make([][]ending, len(machines)),
		short: map[kind]int{}, unstoppable: map[stopKind]int{}, gaps: map[kind]gapList{}}
}
