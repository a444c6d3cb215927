package autoscaler

import (
	"math"
	"testing"
)

// sizingTest is a case of a sizing function for arrays, with the number of CPUs that it should return.
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

// TestArraysMeetDueTimes guards against arrays that get too few CPUs to finish in time, and against
// requests for machines that boot too late to be of use.
func TestArraysMeetDueTimes(t *testing.T) {
	const bootSeconds = 50
	runSizingTests(t, []sizingTest{
		{name: "no arrays", availableCPUs: 10, want: 0},
		{name: "tasks run one after another on available CPUs", availableCPUs: 10, want: 1,
			arrays: []ArrayWork{{DueSeconds: 100, RunSeconds: 10, CPUSeconds: 100}}},
		{name: "too few CPUs by the due time, new machines boot in time", availableCPUs: 10, want: 30,
			arrays: []ArrayWork{{DueSeconds: 100, RunSeconds: 10, CPUSeconds: 2000}}},
		{name: "due before a new machine boots, finished late but before that", availableCPUs: 10, want: 10,
			arrays: []ArrayWork{{DueSeconds: 30, RunSeconds: 10, CPUSeconds: 400}}},
		{name: "due sooner than the run time of a task", availableCPUs: 100, want: 10,
			arrays: []ArrayWork{{DueSeconds: 5, RunSeconds: 10, CPUSeconds: 100}}},
		{name: "overdue, spread over 1.5 run times after the boot", availableCPUs: 20, want: 100,
			arrays: []ArrayWork{{DueSeconds: -5, RunSeconds: 20, CPUSeconds: 4000}}},
	}, func(test sizingTest) float64 { return CPUsForDueTimes(test.arrays, test.availableCPUs, bootSeconds) })
}

// TestBacklogDrains guards against a backlog that never drains while the average load is served, and
// against one that is drained so soon that the machines rented for it are returned as soon as they have
// booted.
func TestBacklogDrains(t *testing.T) {
	const bootSeconds = 20
	runSizingTests(t, []sizingTest{
		{name: "nothing waits", availableCPUs: 100, averageLoad: 100, want: 0,
			arrays: []ArrayWork{{RunSeconds: 60}}},
		{name: "drained before new machines have booted", availableCPUs: 100, averageLoad: 60, want: 0,
			arrays: []ArrayWork{{RunSeconds: 60, WaitingCPUSeconds: 600}}},
		{name: "spread over the run time of a task", availableCPUs: 100, averageLoad: 100, want: 160,
			arrays: []ArrayWork{{RunSeconds: 100, WaitingCPUSeconds: 6000}}},
		{name: "spread over four boot times", availableCPUs: 100, averageLoad: 100, want: 175,
			arrays: []ArrayWork{{RunSeconds: 25, WaitingCPUSeconds: 6000}}},
	}, func(test sizingTest) float64 {
		return CPUsForBacklog(test.arrays, test.availableCPUs, test.averageLoad, bootSeconds)
	})
}
