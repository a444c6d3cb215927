package placement

import (
	"math/rand/v2"
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
		for ; placed < job.Waiting && p.teamOf(job).hasRoomFor(job.Need, 1); placed++ {
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
		for ; (job.Urgent || job.MayDisplace) && placed < job.Waiting; placed++ {
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
	for ; placed < job.Waiting && p.teamOf(job).hasRoomFor(job.Need, 1); placed++ {
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

// The plan is the same whether the machines are looked through once for a job or
// once for a task, at the size of a few hundred machines.
func TestPlaceLikePlain(t *testing.T) {
	now := time.Unix(1000, 0)
	starts, stops := 0, 0
	for seed := range uint64(40) {
		build := func() ([]Machine, []Job, []Team) { return generate(rand.New(rand.NewPCG(7, seed)), now) }
		machines, jobs, teams := build()
		got := Place(now, machines, jobs, teams)
		machines, jobs, teams = build()
		want := placeOneByOne(now, machines, jobs, teams)
		if !reflect.DeepEqual(got, want) {
			t.Fatalf("seed %d:\n got %v\nwant %v", seed, got, want)
		}
		starts += len(got.Assignments)
		stops += len(got.Preemptions)
	}
	if starts < 1000 || stops < 100 {
		t.Errorf("%d starts and %d stops: the inputs try too little", starts, stops)
	}
}

// A gang that would stop tasks in every zone and finds room in none leaves the pass as it was.
func TestGangWithoutRoomChangesNothing(t *testing.T) {
	now := time.Unix(1000, 0)
	for seed := range uint64(20) {
		machines, jobs, teams := generate(rand.New(rand.NewPCG(7, seed)), now)
		want := Place(now, machines, jobs, teams)
		machines, jobs, teams = generate(rand.New(rand.NewPCG(7, seed)), now)
		gang := Job{Team: len(teams), Priority: 4, Need: Amounts{CPU: 1, Memory: 3}, Waiting: 5000, Tasks: 5000, Zone: -1,
			OneZone: true, Gang: true, Urgent: true, TasksInZone: make([]int, 4)}
		got := Place(now, machines, append(jobs, gang), append(teams, Team{CPUsMax: 1e6}))
		if got.Unplaced[len(jobs)] != gang.Waiting || !slices.Equal(got.Unplaced[:len(jobs)], want.Unplaced) ||
			!slices.Equal(got.Assignments, want.Assignments) || !slices.Equal(got.Preemptions, want.Preemptions) {
			t.Fatalf("seed %d:\n got %v\nwant %v", seed, got, want)
		}
	}
}

func generate(r *rand.Rand, now time.Time) (machines []Machine, jobs []Job, teams []Team) {
	for range 3 {
		teams = append(teams, Team{CPUsMax: float64(100 + r.IntN(400))})
	}
	teams[2].Opportunistic = r.IntN(2) == 0
	crowded := r.IntN(2) == 0
	for range 100 + r.IntN(300) {
		m := Machine{Open: r.IntN(20) > 0, Type: r.IntN(2), Zone: r.IntN(3), Spot: r.IntN(4) == 0, Fetch: r.IntN(3) == 0,
			Free: Amounts{CPU: 4, Memory: 16}, Load: float64(r.IntN(12))}
		for m.Free[CPU] > 0 && (crowded || r.IntN(3) > 0) {
			task := Task{ID: len(m.Tasks), Need: Amounts{CPU: 1, Memory: 3}, Priority: r.IntN(3), Team: r.IntN(3),
				StartedAt: now.Add(-time.Duration(r.IntN(100)) * time.Second), Stopping: r.IntN(10) == 0}
			m.Tasks = append(m.Tasks, task)
			m.Free = m.Free.Add(task.Need, -1)
			teams[task.Team].CPUsUsed++
		}
		machines = append(machines, m)
	}
	for i := range 30 + r.IntN(60) {
		j := Job{Team: r.IntN(3), Arrival: uint64(i), Zone: r.IntN(5) - 1, Spot: r.IntN(2) == 0, Waiting: 1,
			Need: Amounts{CPU: 2, Memory: 4}, Priority: 3, Urgent: true, TasksInZone: make([]int, 4), Types: []bool{true, r.IntN(3) > 0}}
		if r.IntN(3) == 0 {
			j.Need, j.Priority, j.Urgent = Amounts{CPU: 1, Memory: 3}, r.IntN(3), false
			j.Waiting, j.Ratio, j.BeyondGuarantee = r.IntN(60), float64(r.IntN(50)), r.IntN(2) == 0
			j.Apart = r.IntN(4) == 0
			j.MayDisplace = !j.BeyondGuarantee && !teams[j.Team].Opportunistic
		}
		j.Tasks = j.Waiting
		if r.IntN(3) == 0 {
			j.FetchTooSlow = r.IntN(2) == 0
			j.Image = make([]Image, len(machines))
			for m := range j.Image {
				j.Image[m] = Image(r.IntN(3))
			}
		}
		if r.IntN(5) == 0 {
			j.Avoid = slices.Repeat([]bool{false}, len(machines))
			j.Avoid[r.IntN(len(machines))] = true
		}
		jobs = append(jobs, j)
	}
	return machines, jobs, teams
}
