package autoscaler

// Sizing for arrays: how many CPUs their tasks should have together. Arrays are counted in CPUs, not in
// tasks, as their tasks take turns on a machine (TestSmallTasksDoNotOverprovision in package controller).

import (
	"math"
	"sort"
)

// ArrayWork is what is left of one array. All times are in seconds.
type ArrayWork struct {
	DueSeconds        float64 // until it is due; negative if that is past
	RunSeconds        float64 // run time of one task
	CPUSeconds        float64 // CPU seconds left in all
	WaitingCPUSeconds float64 // of these, of tasks that wait and that their team may run
}

// lateDrainTimeInRuns is over how many run times of a task, from when machines are up, work is spread that new
// machines come too late for: so many of them are of use beyond their first tasks.
const lateDrainTimeInRuns = 1.5

// CPUsForDueTimes returns how many CPUs the works should have at once, given how many they have and how many seconds a
// machine takes to boot. It takes the works in order of their due time, to which it sorts them, and compares
// what is to be done by each with what can be done by then. New machines help only once they have booted;
// where they come too late for the due time, they are asked for only as far as the work would outlast their
// first tasks.
func CPUsForDueTimes(arrays []ArrayWork, availableCPUs, bootSeconds float64) float64 {
	sort.Slice(arrays, func(x, y int) bool { return arrays[x].DueSeconds < arrays[y].DueSeconds })
	needed, total := 0.0, 0.0
	for _, work := range arrays {
		total += work.CPUSeconds
		due := math.Max(work.DueSeconds, work.RunSeconds) // no task ends sooner
		needed = math.Max(needed, math.Min(total/due, availableCPUs))
		doneInTime := total-availableCPUs*due <= 0
		if doneInTime {
			continue
		}
		usefulTime := due - bootSeconds
		if usefulTime < work.RunSeconds {
			usefulTime = lateDrainTimeInRuns * work.RunSeconds
		}
		if missing := total - availableCPUs*(bootSeconds+usefulTime); missing > 0 {
			needed = math.Max(needed, availableCPUs+missing/usefulTime)
		}
	}
	return needed
}

// drainTimeInBoots is over how many boot times a backlog is spread: machines that are of use for less cost
// more to boot than the wait costs (figures for two to four: docs/placement.md, "Sizing the fleet").
const drainTimeInBoots = 4

// CPUsForBacklog returns how many CPUs arrays should have so that what waits is done soon, beside the usual load: what
// will still wait once machines rented now are up is spread over drainTimeInBoots, or over a task's run time
// where that is longer. It is given how many CPUs arrays have, how many the usual load takes, and how many
// seconds a machine takes to boot; 0 if nothing will wait.
//
// It guards against a queue that never empties: machines for the usual load alone keep up with arrivals, but
// a backlog once formed stays, and arrays behind it are late though more machines could be rented.
func CPUsForBacklog(arrays []ArrayWork, availableCPUs, averageLoad, bootSeconds float64) float64 {
	waitingSeconds, waitingCPUs := 0.0, 0.0
	for _, work := range arrays {
		waitingSeconds += work.WaitingCPUSeconds
		waitingCPUs += work.WaitingCPUSeconds / work.RunSeconds
	}
	backlog := waitingSeconds + bootSeconds*(averageLoad-availableCPUs)
	if waitingCPUs == 0 || backlog <= 0 {
		return 0
	}
	meanRun := waitingSeconds / waitingCPUs
	return averageLoad + backlog/math.Max(drainTimeInBoots*bootSeconds, meanRun)
}
