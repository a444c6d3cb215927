package autoscaler

import (
	"math"
	"testing"
)

// sizingTest is a case of sizing for arrays: how many CPUs a function should return.
type sizingTest struct {
	name  string
	works []ArrayWork
	have  float64
	usual float64
	want  float64
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
	const boot = 50
	runSizingTests(t, []sizingTest{
		{name: "nothing to do", have: 10, want: 0},
		{name: "tasks take turns on what is there", have: 10, want: 1,
			works: []ArrayWork{{DueSeconds: 100, RunSeconds: 10, CPUSeconds: 100}}},
		{name: "short by its due time, new machines in time", have: 10, want: 30,
			works: []ArrayWork{{DueSeconds: 100, RunSeconds: 10, CPUSeconds: 2000}}},
		{name: "due sooner than a machine boots, done before one would be up", have: 10, want: 10,
			works: []ArrayWork{{DueSeconds: 30, RunSeconds: 10, CPUSeconds: 400}}},
		{name: "due sooner than a task can end", have: 100, want: 10,
			works: []ArrayWork{{DueSeconds: 5, RunSeconds: 10, CPUSeconds: 100}}},
		{name: "late already: not more than halves the wait", have: 20, want: 100,
			works: []ArrayWork{{DueSeconds: -5, RunSeconds: 20, CPUSeconds: 4000}}},
	}, func(test sizingTest) float64 { return CPUsForDueTimes(test.works, test.have, boot) })
}

// TestBacklogDrains fails if a backlog stays for ever beside the usual load, or is done so soon that machines
// are returned as soon as they are up.
func TestBacklogDrains(t *testing.T) {
	const boot = 20
	runSizingTests(t, []sizingTest{
		{name: "nothing waits", have: 100, usual: 100, want: 0,
			works: []ArrayWork{{RunSeconds: 60}}},
		{name: "done by the time that machines are up", have: 100, usual: 60, want: 0,
			works: []ArrayWork{{RunSeconds: 60, WaitingCPUSeconds: 600}}},
		{name: "spread over a task's run", have: 100, usual: 100, want: 160,
			works: []ArrayWork{{RunSeconds: 100, WaitingCPUSeconds: 6000}}},
		{name: "spread over four boots", have: 100, usual: 100, want: 175,
			works: []ArrayWork{{RunSeconds: 25, WaitingCPUSeconds: 6000}}},
	}, func(test sizingTest) float64 { return CPUsForBacklog(test.works, test.have, test.usual, boot) })
}
