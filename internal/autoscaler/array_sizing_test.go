package autoscaler

import (
	"math"
	"testing"
)

// sizingTest is a case of sizing for arrays: how many CPUs a function should return.
type sizingTest struct {
	name          string
	arrays        []ArrayWork
	availableCPUs float64
	averageLoad   float64
	want          float64
}

func runSizingTests(t *testing.T, tests []sizingTest, size func(test sizingTest) float64) {
	t.Helper()
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := size(test); math.Abs(got-test.want) > 0.5 {
				t.Errorf("%v CPUs, want %v", got, test.want)
			}
		})
	}
}

// TestArraysMeetDueTimes fails if arrays are given too few CPUs to be done in time, or machines are asked for
// that come too late to be of use.
func TestArraysMeetDueTimes(t *testing.T) {
	const bootSeconds = 50
	runSizingTests(t, []sizingTest{
		{name: "nothing to do", availableCPUs: 10, want: 0},
		{name: "tasks take turns on what is there", availableCPUs: 10, want: 1,
			arrays: []ArrayWork{{DueSeconds: 100, RunSeconds: 10, CPUSeconds: 100}}},
		{name: "short by its due time, new machines in time", availableCPUs: 10, want: 30,
			arrays: []ArrayWork{{DueSeconds: 100, RunSeconds: 10, CPUSeconds: 2000}}},
		{name: "due sooner than a machine boots, done before one would be up", availableCPUs: 10, want: 10,
			arrays: []ArrayWork{{DueSeconds: 30, RunSeconds: 10, CPUSeconds: 400}}},
		{name: "due sooner than a task can end", availableCPUs: 100, want: 10,
			arrays: []ArrayWork{{DueSeconds: 5, RunSeconds: 10, CPUSeconds: 100}}},
		{name: "late already: not more than halves the wait", availableCPUs: 20, want: 100,
			arrays: []ArrayWork{{DueSeconds: -5, RunSeconds: 20, CPUSeconds: 4000}}},
	}, func(test sizingTest) float64 { return CPUsForDueTimes(test.arrays, test.availableCPUs, bootSeconds) })
}

// TestBacklogDrains fails if a backlog stays for ever beside the usual load, or is done so soon that machines
// are returned as soon as they are up.
func TestBacklogDrains(t *testing.T) {
	const bootSeconds = 20
	runSizingTests(t, []sizingTest{
		{name: "nothing waits", availableCPUs: 100, averageLoad: 100, want: 0,
			arrays: []ArrayWork{{RunSeconds: 60}}},
		{name: "done by the time that machines are up", availableCPUs: 100, averageLoad: 60, want: 0,
			arrays: []ArrayWork{{RunSeconds: 60, WaitingCPUSeconds: 600}}},
		{name: "spread over a task's run", availableCPUs: 100, averageLoad: 100, want: 160,
			arrays: []ArrayWork{{RunSeconds: 100, WaitingCPUSeconds: 6000}}},
		{name: "spread over four boots", availableCPUs: 100, averageLoad: 100, want: 175,
			arrays: []ArrayWork{{RunSeconds: 25, WaitingCPUSeconds: 6000}}},
	}, func(test sizingTest) float64 {
		return CPUsForBacklog(test.arrays, test.availableCPUs, test.averageLoad, bootSeconds)
	})
}
