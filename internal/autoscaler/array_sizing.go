package autoscaler

// Sizing for arrays: the total number of CPUs that their tasks should get. Arrays are sized in CPUs, not
// in tasks, because their tasks run one after another on the same machines
// (TestSmallTasksDoNotOverprovision in package controller).

import (
	"math"
	"sort"
)

// ArrayWork is the unfinished work of one array. All times are in seconds.
type ArrayWork struct {
	DueSeconds        float64 // time until the array is due; negative once it is overdue
	RunSeconds        float64 // run time of one task; must be positive
	CPUSeconds        float64 // total CPU time left
	WaitingCPUSeconds float64 // part of CPUSeconds for waiting tasks within their team's limit
}

// lateDrainTimeInRuns is the period over which work is spread if new machines boot too late to finish a
// task by its due time. It is in run times of a task, and begins when the machines have booted. It limits
// new machines to those that are of use beyond their first tasks.
const lateDrainTimeInRuns = 1.5

// CPUsForDueTimes returns how many CPUs the arrays need at once to finish by their due times; 0 if there
// are no arrays. availableCPUs is the number of CPUs that arrays use or can use without new machines,
// bootSeconds the time that a new machine takes to boot. The function sorts arrays by due time.
//
// For each due time, the work due by then is compared with what the available CPUs can do by then. New
// machines help only once they have booted. If they come too late for the due time, they are requested
// only as far as the work would outlast their first tasks.
func CPUsForDueTimes(arrays []ArrayWork, availableCPUs, bootSeconds float64) float64 {
	sort.Slice(arrays, func(x, y int) bool { return arrays[x].DueSeconds < arrays[y].DueSeconds })
	needed, total := 0.0, 0.0
	for _, work := range arrays {
		total += work.CPUSeconds
		due := math.Max(work.DueSeconds, work.RunSeconds) // no task finishes before its run time has passed
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

// drainTimeInBoots is the period over which a backlog is spread, in boot times of a machine. Machines
// that are of use for a shorter time cost more to boot than the waiting costs (figures for two to four:
// docs/placement.md, "Sizing the fleet").
const drainTimeInBoots = 4

// CPUsForBacklog returns how many CPUs arrays need to drain their backlog in addition to serving the
// average load; 0 if no tasks wait or the backlog is empty. The backlog is the work that will still wait
// when machines rented now have booted. It is spread over drainTimeInBoots, or over the mean run time of
// a waiting task if that is longer. availableCPUs is the number of CPUs that arrays use or can use
// without new machines, averageLoad the number that arrivals use on average, bootSeconds the time that a
// new machine takes to boot.
//
// Guards against a backlog that never drains: machines for the average load alone keep up with arrivals,
// but an existing backlog stays. Arrays behind it are late although more machines could be rented.
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
