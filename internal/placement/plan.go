package placement

import (
	"cmp"
	"slices"
	"sort"
	"time"
)

// choice limits the machines that are looked at for a job.
type choice struct {
	zone int  // -1: any
	warm bool // only those that have the job's image
}

var (
	anywhere = choice{zone: -1}
	warmOnly = choice{zone: -1, warm: true}
)

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

// kind is what decides which machines fit a task whose job has no tasks tied to
// each other by zone: the same for all tasks of a job, and for most jobs of a class.
type kind struct {
	need  Amounts
	types string
	zone  int
	spot  bool
	tried int // zone in which a gang is tried; 0 for other jobs
}

// kind returns the job's kind; ok is false where its other tasks or its failures
// matter as well.
func (j *Job) kind() (k kind, ok bool) {
	if j.OneZone || j.Apart || j.Gang || j.Avoid != nil {
		return kind{}, false
	}
	return kind{need: j.Need, types: j.typeNames(), zone: j.Zone, spot: j.Spot}, true
}

// typeNames returns the allowed types in a form that can be compared.
func (j *Job) typeNames() string {
	types := make([]byte, len(j.Types))
	for i, allowed := range j.Types {
		if allowed {
			types[i] = 1
		}
	}
	return string(types)
}

// Place makes one pass: waiting tasks by priority, then arrival, each to the
// fitting machine with the lowest index, within their teams' limits. It
// changes machines, jobs and teams as it goes.
func Place(now time.Time, machines []Machine, jobs []Job, teams []Team) Plan {
	p := newPlanner(now, machines, teams, len(jobs))
	sorted := order(jobs)
	p.overdue(jobs, sorted)
	for _, i := range sorted {
		j := &jobs[i]
		if j.Gang {
			p.gang(i, j)
			continue
		}
		left := j.Waiting
		if j.Urgent && j.FetchTooSlow {
			left -= p.fill(i, j, left, warmOnly)
			made, _ := p.preempt(i, j, left, warmOnly)
			left -= made
		}
		left -= p.fill(i, j, left, anywhere)
		if left == 0 {
			continue
		}
		if p.teams[j.Team].room(j.Need) {
			p.out.Unplaced[i] = left
			if !j.Urgent {
				p.starved = append(p.starved, j)
			}
		}
		if j.Urgent || j.MayDisplace {
			p.preempt(i, j, left, anywhere)
		}
	}
	return p.out
}

func newPlanner(now time.Time, machines []Machine, teams []Team, jobs int) *planner {
	return &planner{now: now, machines: machines, teams: teams, out: Plan{Unplaced: make([]int, jobs)},
		full: map[kind]bool{}, victims: map[claim][]victim{}, own: make([]bool, len(machines)), ends: make([][]ending, len(machines)),
		short: map[kind]int{}, unstoppable: map[stopKind]int{}, gaps: map[kind]gapList{}}
}

// order returns the positions of the jobs in the order in which they are placed.
func order(jobs []Job) []int {
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
		if a.BeyondGuarantee != b.BeyondGuarantee {
			return b.BeyondGuarantee
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
	return order
}

// overdue lets each job that has waited too long with none of its tasks begun
// begin with one, before all others and in order of arrival.
//
// Exception to the design (priority, then arrival): by priority and response ratio
// alone a class of low priority, or the largest arrays, may never have their turn
// while bursts of others go on (menu-sync waited up to 283 s on rough of
// kapana-orders-grown), and users count a job that has not begun within four
// minutes as failed.
func (p *planner) overdue(jobs []Job, sorted []int) {
	var late []int
	for _, i := range sorted {
		if jobs[i].Overdue && !jobs[i].Gang {
			late = append(late, i)
		}
	}
	sort.Slice(late, func(x, y int) bool { return jobs[late[x]].Arrival < jobs[late[y]].Arrival })
	for _, i := range late {
		jobs[i].Waiting -= p.fill(i, &jobs[i], 1, anywhere)
	}
}

// fill places up to most tasks of a job, as far as the team and the machines have
// room, and returns how many. The index does not change within a pass, so the machine
// that is best for one task is best for the next until it is full: the machines
// are looked through once for a job, not once for a task.
func (p *planner) fill(i int, j *Job, most int, on choice) (n int) {
	k, plain := j.kind()
	if plain && p.full[k] || !p.teams[j.Team].room(j.Need) {
		return 0
	}
	fit := make([]int, 0, len(p.machines))
	for m := range p.machines {
		if p.fits(j, m, on.zone) && (!on.warm || p.rank(j, m) == 0) {
			fit = append(fit, m)
		}
	}
	slices.SortFunc(fit, func(a, b int) int { return p.compare(j, a, b) })
	for _, m := range fit {
		// Where the job's tasks are tied to each other by zone, some no longer fit.
		for p.fits(j, m, on.zone) {
			if n == most || !p.teams[j.Team].room(j.Need) {
				return n
			}
			p.assign(i, j, m)
			n++
		}
	}
	if plain && on == anywhere {
		p.full[k] = n < most // room only shrinks within a pass
	}
	return n
}

func (p *planner) assign(i int, j *Job, m int) {
	p.touch(j, m)
	p.machines[m].Free = p.machines[m].Free.Add(j.Need, -1)
	p.teams[j.Team].use(j.Need, 1)
	j.TasksInZone[p.machines[m].Zone]++
	if j.Image != nil && j.Image[m] == Cold {
		j.Image[m], p.machines[m].Fetch = Coming, true
	}
	p.out.Assignments = append(p.out.Assignments, Assignment{i, m})
}

// best returns the fitting machine that comes first, or -1. only, if not
// negative, names the zone.
func (p *planner) best(j *Job, only int) int {
	best := -1
	for i := range p.machines {
		if p.fits(j, i, only) && (best < 0 || p.compare(j, i, best) < 0) {
			best = i
		}
	}
	return best
}

// fits tells whether a task of j may be placed on a machine.
func (p *planner) fits(j *Job, i, only int) bool {
	m := &p.machines[i]
	return m.Open && !j.avoids(i) && m.Free.Fits(j.Need) && j.Allows(m) && (only < 0 || m.Zone == only)
}

// compare tells which of two machines comes first for j: the lowest index, the first
// of equals.
//
// Exception to the design: where j.Image is given, a machine that has the job's
// image comes before one that fetches it, that before one that has it yet to fetch,
// and of those one that fetches nothing else, as fetches share the machine's rate. It
// is given for images that take longer to fetch than the index remembers; on
// omaruru-fares a fetch of 20 s kept machines paid and idle and services from their
// start aim.
func (p *planner) compare(j *Job, a, b int) int {
	return cmp.Or(cmp.Compare(p.rank(j, a), p.rank(j, b)), cmp.Compare(p.machines[a].Load, p.machines[b].Load), a-b)
}

// rank tells how soon a machine would have the job's image: 0 the soonest.
func (p *planner) rank(j *Job, m int) int {
	switch {
	case j.Image == nil || j.Image[m] == Warm:
		return 0
	case j.Image[m] == Coming:
		return 1
	case !p.machines[m].Fetch:
		return 2
	}
	return 3
}
