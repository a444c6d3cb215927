package placement

import (
	"reflect"
	"slices"
	"testing"
	"time"
)

// placeOneByOne is Place as the design states it, for jobs that are no gangs: one task after the other with
// a look at every machine for each, and nothing remembered from task to task.
func placeOneByOne(now time.Time, machines []Machine, jobs []Job, teams []Team) Plan {
	p := newPass(now, machines, jobs, teams)
	for _, job := range placementOrder(jobs) {
		placed := 0
		if job.Urgent && job.FetchTooSlow {
			placed = p.placeOneByOneWithImage(job)
		}
		for ; placed < job.Waiting && p.teamOf(job).limitAllows(job.Need, 1); placed++ {
			machineIndex := p.bestMachine(job, anyMachine)
			if machineIndex == noMachine {
				p.plan.Unplaced[job.position] = job.Waiting - placed
				if !job.Urgent {
					p.starvedJobs = append(p.starvedJobs, job)
				}
				break
			}
			p.assign(job, machineIndex)
		}
		for ; (job.Urgent || job.MayPreemptOpportunistic) && placed < job.Waiting; placed++ {
			clear(p.preemptionOptions)
			p.preempt(job, 1, anyMachine)
		}
	}
	return p.plan
}

// placeOneByOneWithImage places tasks where the image is, and makes room there for others; it returns for
// how many.
func (p *pass) placeOneByOneWithImage(job *Job) int {
	placed := 0
	for ; placed < job.Waiting && p.teamOf(job).limitAllows(job.Need, 1); placed++ {
		machineIndex := p.bestMachine(job, anyMachine)
		if machineIndex == noMachine || p.imageRankOn(job, machineIndex) != imageOnMachine {
			break
		}
		p.assign(job, machineIndex)
	}
	for made := 1; made > 0 && placed < job.Waiting; placed += made {
		clear(p.preemptionOptions)
		made = p.preempt(job, 1, machinesWithImage).tasks
	}
	return placed
}

// TestRememberedResultsChangeNoDecision fails if what a pass remembers from task to task, or looking through
// the machines once for a job in place of once for a task, leads to another plan.
func TestRememberedResultsChangeNoDecision(t *testing.T) {
	const enoughAssignments, enoughPreemptions = 1000, 100
	assignments, preemptions := 0, 0
	for seed := range uint64(40) {
		machines, jobs, teams := generateSnapshot(seed)
		got := Place(traceStart, machines, jobs, teams)
		machines, jobs, teams = generateSnapshot(seed)
		want := placeOneByOne(traceStart, machines, jobs, teams)
		if !reflect.DeepEqual(got, want) {
			t.Fatalf("seed %d:\n got %v\nwant %v", seed, got, want)
		}
		assignments += len(got.Assignments)
		preemptions += len(got.Preemptions)
	}
	if assignments < enoughAssignments || preemptions < enoughPreemptions {
		t.Errorf("%d assignments and %d preemptions: the inputs try too little", assignments, preemptions)
	}
}

// TestGangWithoutRoomChangesNothing fails if a gang that would preempt in every zone and finds room in none
// leaves anything of its trials behind.
func TestGangWithoutRoomChangesNothing(t *testing.T) {
	for seed := range uint64(20) {
		machines, jobs, teams := generateSnapshot(seed)
		want := Place(traceStart, machines, jobs, teams)
		machines, jobs, teams = generateSnapshot(seed)
		gang := Job{Team: len(teams), Priority: 4, Need: Amounts{CPU: 1, Memory: 3}, Waiting: 5000, Tasks: 5000,
			Zone: AnyZone, OneZone: true, Gang: true, Urgent: true, TasksInZone: make([]int, generatedZones)}
		got := Place(traceStart, machines, append(jobs, gang), append(teams, Team{CPUsMax: 1e6}))
		if unplaced := got.Unplaced[len(jobs)]; unplaced != gang.Waiting {
			t.Fatalf("seed %d: %d of %d tasks of the gang unplaced", seed, unplaced, gang.Waiting)
		}
		got.Unplaced = got.Unplaced[:len(jobs)]
		if !slices.Equal(got.Unplaced, want.Unplaced) ||
			!slices.Equal(got.Assignments, want.Assignments) ||
			!slices.Equal(got.Preemptions, want.Preemptions) {
			t.Fatalf("seed %d:\n got %v\nwant %v", seed, got, want)
		}
	}
}
