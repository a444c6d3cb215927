package placement

import (
	"sort"
	"time"
)

// Machine is a machine as placement sees it. Its position in the list is its
// dense index.
type Machine struct {
	Open  bool // takes new tasks
	Type  int
	Zone  int
	Spot  bool
	Free  Amounts
	Load  float64 // the index
	Tasks []Task  // booked tasks, for preemption
}

// Task is a booked task.
type Task struct {
	ID       int // the caller's
	Need     Amounts
	Priority int
	Team     int
	Since    time.Time
	Stopping bool
}

// Job is a job with waiting tasks.
type Job struct {
	Team     int
	Priority int
	Arrival  uint64
	Ratio    float64 // work left over time waited; the less, the sooner
	Beyond   bool    // its team has more unfinished work than it is guaranteed
	Need     Amounts
	Waiting  int
	Types    []bool // allowed by dense type; nil: any
	Zone     int    // -1: any
	Spot     bool
	OneZone  bool
	Apart    bool
	Gang     bool   // placed whole or not at all
	Tasks    int    // of the job in all
	InZone   []int  // of its tasks not done or now on machines, by zone
	Urgent   bool   // may preempt
	Avoid    []bool // machines on which it has failed; nil: none
	Warm     []bool // machines that have its image, where that comes before the index; nil: nowhere
}

// Team is a team's limit and what its tasks use now.
type Team struct {
	CPUsMax, GPUsMax float64
	CPUsUsed         float64
	GPUsUsed         float64
	stopped          Amounts // of its tasks that stop for others, and still count
}

func (t *Team) room(n Amounts) bool {
	return t.CPUsUsed+n[CPU] <= t.CPUsMax+eps && t.GPUsUsed+n[GPU] <= t.GPUsMax+eps
}

// over returns by how much the team would be over its limit with n more, once
// those that stop have stopped.
func (t *Team) over(n Amounts) Amounts {
	var out Amounts
	if d := t.CPUsUsed - t.stopped[CPU] + n[CPU] - t.CPUsMax; d > eps {
		out[CPU] = d
	}
	if d := t.GPUsUsed - t.stopped[GPU] + n[GPU] - t.GPUsMax; d > eps {
		out[GPU] = d
	}
	return out
}

func (t *Team) use(n Amounts, k float64) {
	t.CPUsUsed += k * n[CPU]
	t.GPUsUsed += k * n[GPU]
}

// Assignment sends one task of a job to a machine.
type Assignment struct {
	Job     int // position in the list of jobs
	Machine int
}

// Stop asks for a task to be stopped to make room for a job.
type Stop struct {
	Machine int
	Task    int // ID
	For     int // position in the list of jobs
}

// Plan is the outcome of one pass.
type Plan struct {
	Assign  []Assignment
	Stops   []Stop
	Starved []int // by position of the job: tasks that found no machine though the team had room
}

// planner is the state of one pass.
type planner struct {
	now      time.Time
	machines []Machine
	teams    []Team
	out      Plan
}

// Place makes one pass: waiting tasks by priority, then arrival, each to the
// fitting machine with the lowest index, within their teams' limits. It
// changes machines, jobs and teams as it goes.
func Place(now time.Time, machines []Machine, jobs []Job, teams []Team) Plan {
	p := &planner{now: now, machines: machines, teams: teams}
	p.out.Starved = make([]int, len(jobs))
	order := make([]int, len(jobs))
	for i := range order {
		order[i] = i
	}
	sort.Slice(order, func(x, y int) bool {
		a, b := &jobs[order[x]], &jobs[order[y]]
		if a.Priority != b.Priority {
			return a.Priority > b.Priority
		}
		// Exception to the design (priority, then arrival): work within its team's
		// guarantee need not wait for other teams' work beyond theirs, as
		// DEPLOY-tulipshelf.md promises ("guaranteed").
		if a.Beyond != b.Beyond {
			return b.Beyond
		}
		// Exception to the design (arrival): among arrays, the highest response ratio
		// first, that is the least work left for the time waited. By arrival one large
		// array makes all behind it late (rough of kapana-orders); by work alone a
		// large one might never have its turn.
		if a.Ratio != b.Ratio {
			return a.Ratio < b.Ratio
		}
		return a.Arrival < b.Arrival
	})
	for _, i := range order {
		j := &jobs[i]
		if j.Gang {
			p.gang(i, j)
			continue
		}
		for n := 0; n < j.Waiting; n++ {
			if !p.teams[j.Team].room(j.Need) {
				if j.Urgent {
					p.preempt(i, j, j.Waiting-n)
				}
				break
			}
			m := p.best(j, -1)
			if m < 0 {
				p.out.Starved[i] = j.Waiting - n
				if j.Urgent {
					p.preempt(i, j, j.Waiting-n)
				}
				break
			}
			p.assign(i, j, m)
		}
	}
	return p.out
}

func (p *planner) assign(i int, j *Job, m int) {
	p.machines[m].Free = p.machines[m].Free.Add(j.Need, -1)
	p.teams[j.Team].use(j.Need, 1)
	j.InZone[p.machines[m].Zone]++
	if j.Warm != nil {
		j.Warm[m] = true
	}
	p.out.Assign = append(p.out.Assign, Assignment{i, m})
}

// gang places all waiting tasks of a job in this pass or none. Where all must
// be in one zone, each zone is tried in order.
func (p *planner) gang(i int, j *Job) {
	zones := []int{-1}
	if j.OneZone {
		zones = zones[:0]
		for z := range j.InZone {
			zones = append(zones, z)
		}
	}
	for _, z := range zones {
		done := len(p.out.Assign)
		for len(p.out.Assign)-done < j.Waiting && p.teams[j.Team].room(j.Need) {
			m := p.best(j, z)
			if m < 0 {
				break
			}
			p.assign(i, j, m)
		}
		if len(p.out.Assign)-done == j.Waiting {
			return
		}
		for _, a := range p.out.Assign[done:] {
			m := &p.machines[a.Machine]
			m.Free = m.Free.Add(j.Need, 1)
			p.teams[j.Team].use(j.Need, -1)
			j.InZone[m.Zone]--
		}
		p.out.Assign = p.out.Assign[:done]
	}
	p.out.Starved[i] = j.Waiting
}

// best returns the fitting machine with the lowest index, the first of equals,
// or -1. only, if not negative, names the zone.
//
// Exception to the design: where j.Warm is given, a machine that has the job's
// image comes before one that has not. It is given for images that take longer
// to fetch than the index remembers; on omaruru-fares a fetch of 20 s kept
// machines paid and idle and services from their start aim.
func (p *planner) best(j *Job, only int) int {
	best := -1
	before := func(i int) bool {
		if best < 0 {
			return true
		}
		if j.Warm != nil && j.Warm[i] != j.Warm[best] {
			return j.Warm[i]
		}
		return p.machines[i].Load < p.machines[best].Load
	}
	for i := range p.machines {
		m := &p.machines[i]
		if !m.Open || j.avoids(i) || !before(i) {
			continue
		}
		if !m.Free.Fits(j.Need) || !j.Allows(m) || (only >= 0 && m.Zone != only) {
			continue
		}
		best = i
	}
	return best
}

func (j *Job) avoids(machine int) bool { return j.Avoid != nil && j.Avoid[machine] }

// Allows tells whether a task of j may start on m, given j's other tasks.
func (j *Job) Allows(m *Machine) bool {
	if m.Type < 0 || m.Zone < 0 || m.Zone >= len(j.InZone) {
		return false
	}
	if j.Types != nil && !j.Types[m.Type] || j.Zone >= 0 && j.Zone != m.Zone || m.Spot && !j.Spot {
		return false
	}
	if j.Apart && j.InZone[m.Zone] >= (j.Tasks+1)/2 {
		return false
	}
	if j.OneZone {
		for z, n := range j.InZone {
			if n > 0 && z != m.Zone {
				return false
			}
		}
	}
	return true
}

// preempt makes room for up to n tasks of j, each by stopping tasks of lower
// priority on the one machine where that loses the least run time. Where the
// team is at its limit the tasks stopped are its own.
func (p *planner) preempt(i int, j *Job, n int) {
	team := &p.teams[j.Team]
	for ; n > 0; n-- {
		over := team.over(j.Need)
		best, bestStops, bestCost := -1, []int(nil), 0.0
		for k := range p.machines {
			m := &p.machines[k]
			if !m.Open || j.avoids(k) || !j.Allows(m) {
				continue
			}
			stops, cost, ok := m.victims(j, over, p.now)
			if ok && (best < 0 || cost < bestCost) {
				best, bestStops, bestCost = k, stops, cost
			}
		}
		if best < 0 {
			return
		}
		m := &p.machines[best]
		var freed Amounts
		for _, v := range bestStops {
			t := &m.Tasks[v]
			if !t.Stopping {
				t.Stopping = true
				p.out.Stops = append(p.out.Stops, Stop{best, t.ID, i})
			}
			freed = freed.Add(t.Need, 1)
			p.teams[t.Team].stopped = p.teams[t.Team].stopped.Add(t.Need, 1)
			t.Need = Amounts{} // promised to j
		}
		// What stops is still there and counts until it is gone: nobody gets any of
		// it in this pass, not even what is more than j needs.
		for r := range m.Free {
			m.Free[r] = min(m.Free[r], m.Free[r]+freed[r]-j.Need[r])
		}
		team.use(j.Need, 1)
		j.InZone[m.Zone]++
	}
}

// victims picks tasks of lower priority than j, those already stopping and the
// youngest first, until j's task fits and its team is over its limit no more.
// The cost is the run time lost.
func (m *Machine) victims(j *Job, over Amounts, now time.Time) (stops []int, cost float64, ok bool) {
	free := m.Free
	limited := over != (Amounts{})
	order := make([]int, 0, len(m.Tasks))
	for i, t := range m.Tasks {
		if t.Priority < j.Priority && t.Team >= 0 && t.Need != (Amounts{}) && (!limited || t.Team == j.Team) {
			order = append(order, i)
		}
	}
	sort.Slice(order, func(x, y int) bool {
		a, b := &m.Tasks[order[x]], &m.Tasks[order[y]]
		if a.Stopping != b.Stopping {
			return a.Stopping
		}
		if a.Priority != b.Priority {
			return a.Priority < b.Priority
		}
		if !a.Since.Equal(b.Since) {
			return a.Since.After(b.Since)
		}
		return a.ID < b.ID
	})
	enough := func() bool { return free.Fits(j.Need) && (Amounts{}).Fits(over) }
	for _, i := range order {
		if enough() {
			break
		}
		t := &m.Tasks[i]
		free = free.Add(t.Need, 1)
		over = over.Add(t.Need, -1)
		over[Memory] = 0 // not limited
		stops = append(stops, i)
		if !t.Stopping {
			cost += now.Sub(t.Since).Seconds()
		}
	}
	return stops, cost, enough()
}
