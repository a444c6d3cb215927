package placement

import (
	"cmp"
	"maps"
	"math"
	"slices"
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
	Fetch bool    // fetches an image
	Tasks []Task  // booked tasks, for preemption
}

// Task is a booked task.
type Task struct {
	ID       int // the caller's
	Need     Amounts
	Priority int
	Team     int
	Since    time.Time
	Mates    int       // tasks on other machines that lose as much when it is stopped
	Ends     time.Time // when it ends by itself, about; zero: it does not
	Stopping bool
}

// left is for how long a task stays, about. One that has run for longer than was expected
// is expected to run for a quarter longer.
func (t *Task) left(now time.Time) time.Duration {
	switch {
	case t.Stopping:
		return 0
	case t.Ends.IsZero():
		return math.MaxInt64
	}
	return max(t.Ends.Sub(now), now.Sub(t.Since)/4)
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
	Gang     bool    // placed whole or not at all
	ToCome   bool    // a gang that is not there yet, for which room is kept free
	Tasks    int     // of the job in all
	InZone   []int   // of its tasks not done or now on machines, by zone
	Urgent   bool    // may preempt
	Displace bool    // within its team's guarantee, for which work of teams without a guarantee may be stopped
	Overdue  bool    // has waited too long with none of its tasks begun
	Avoid    []bool  // machines on which it has failed; nil: none
	Image    []Image // what machines have of its image, where that comes before the index; nil: nowhere
	Costly   bool    // to fetch its image takes up the time in which it should start
}

// Image is what a machine has of a job's image.
type Image uint8

// Whether a machine would have to fetch an image, fetches it, or has it.
const (
	Cold Image = iota
	Coming
	Warm
)

// Team is a team's limit and what its tasks use now.
type Team struct {
	CPUsMax, GPUsMax float64
	CPUsUsed         float64
	GPUsUsed         float64
	Opportunistic            bool    // has no guarantee
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

	full    map[kind]bool      // kinds of task that no machine has room for in this pass
	victims map[claim][]victim // what making room for a task would cost, by machine
	own     []bool             // machines whose tasks are this pass's own copy
	ends    [][]ending         // of the tasks by machine; nil: not yet worked out
	short   map[kind]int       // least number of a gang's tasks for which there is no room
	gaps    map[kind]gapList   // room for gangs' tasks as others end
	changes int                // of machines so far, those rolled back left out
	saved   *savepoint         // of the try under way; nil: of none
	starved  []*Job             // that wait for a machine, stop nothing for it, and come before the rest
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

// claim is what decides which tasks give way on a machine.
type claim struct {
	need             Amounts
	priority         int
	urgent, displace bool
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
		if j.Urgent && j.Costly {
			left -= p.fill(i, j, left, true)
			made, _ := p.preempt(i, j, left, -1, true)
			left -= made
		}
		left -= p.fill(i, j, left, false)
		if left == 0 {
			continue
		}
		if p.teams[j.Team].room(j.Need) {
			p.out.Starved[i] = left
			if !j.Urgent {
				p.starved = append(p.starved, j)
			}
		}
		if j.Urgent || j.Displace {
			p.preempt(i, j, left, -1, false)
		}
	}
	return p.out
}

func newPlanner(now time.Time, machines []Machine, teams []Team, jobs int) *planner {
	return &planner{now: now, machines: machines, teams: teams, out: Plan{Starved: make([]int, jobs)},
		full: map[kind]bool{}, victims: map[claim][]victim{}, own: make([]bool, len(machines)), ends: make([][]ending, len(machines)),
		short: map[kind]int{}, gaps: map[kind]gapList{}}
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
		jobs[i].Waiting -= p.fill(i, &jobs[i], 1, false)
	}
}

// fill places up to most tasks of a job, as far as the team and the machines have
// room, and returns how many. The index does not change within a pass, so the machine
// that is best for one task is best for the next until it is full: the machines
// are looked through once for a job, not once for a task. warm leaves out machines
// that do not have the job's image.
func (p *planner) fill(i int, j *Job, most int, warm bool) (n int) {
	k, plain := j.kind()
	if !plain {
		for n < most && p.teams[j.Team].room(j.Need) {
			m := p.best(j, -1)
			if m < 0 || warm && p.rank(j, m) > 0 {
				break
			}
			p.assign(i, j, m)
			n++
		}
		return n
	}
	if p.full[k] || !p.teams[j.Team].room(j.Need) {
		return 0
	}
	fit := make([]int, 0, len(p.machines))
	for m := range p.machines {
		if p.fits(j, m, -1) && (!warm || p.rank(j, m) == 0) {
			fit = append(fit, m)
		}
	}
	slices.SortFunc(fit, func(a, b int) int { return p.compare(j, a, b) })
	for _, m := range fit {
		for p.machines[m].Free.Fits(j.Need) {
			if n == most || !p.teams[j.Team].room(j.Need) {
				return n
			}
			p.assign(i, j, m)
			n++
		}
	}
	if !warm {
		p.full[k] = n < most // room only shrinks within a pass
	}
	return n
}

func (p *planner) assign(i int, j *Job, m int) {
	p.touch(j, m)
	p.machines[m].Free = p.machines[m].Free.Add(j.Need, -1)
	p.teams[j.Team].use(j.Need, 1)
	j.InZone[p.machines[m].Zone]++
	if j.Image != nil && j.Image[m] == Cold {
		j.Image[m], p.machines[m].Fetch = Coming, true
	}
	p.out.Assign = append(p.out.Assign, Assignment{i, m})
}

// gang places all waiting tasks of a job in this pass or none. Where all must
// be in one zone, it is the one in which the last of them has its image soonest, and of
// equals the one with the lowest indices; they begin when the last one can.
func (p *planner) gang(i int, j *Job) {
	zones := []int{-1}
	if j.OneZone {
		zones = zones[:0]
		for z := range j.InZone {
			zones = append(zones, z)
		}
	}
	if j.ToCome {
		p.hold(j, zones)
		return
	}
	if p.inBestZone(j, zones, func(zone int) trial { return p.tryGang(i, j, zone) }) {
		return
	}
	p.out.Starved[i] = j.Waiting
	if !p.teams[j.Team].fits(j.Need, j.Waiting) {
		return
	}
	// Preemption is outside the design, as for services. Without it a gang of high priority
	// waited behind arrays of lower priority until its gaps came, which thin spread makes late
	// (rush-forecast waited for 17 s and more where 3 s is the aim). What is free counts as
	// room that costs nothing.
	if j.Urgent && p.inBestZone(j, zones, func(zone int) trial {
		made, lost := p.preempt(i, j, j.Waiting, zone, false)
		return trial{whole: made == j.Waiting, cost: lost}
	}) {
		return
	}
	p.hold(j, zones)
}

// trial is what trying a gang in one zone comes to.
type trial struct {
	whole bool
	rank  int     // of the machine that has its image last
	cost  float64 // of equal ranks the lower is better
}

func (t trial) compare(other trial) int {
	return cmp.Or(cmp.Compare(t.rank, other.rank), cmp.Compare(t.cost, other.cost))
}

// inBestZone tries a gang in each zone and leaves it where that is best, or nowhere if no
// zone takes all of it.
func (p *planner) inBestZone(j *Job, zones []int, try func(zone int) trial) bool {
	best, least := -1, trial{}
	for k, zone := range zones {
		p.begin(j)
		t := try(zone)
		p.rollBack(j)
		if t.whole && (best < 0 || t.compare(least) < 0) {
			best, least = k, t
		}
	}
	if best >= 0 {
		try(zones[best])
	}
	return best >= 0
}

// tryGang places as much of a gang as fits in a zone, or anywhere if it is negative.
func (p *planner) tryGang(i int, j *Job, zone int) (t trial) {
	k, plain := j.gangKind(zone)
	if least, known := p.short[k]; plain && known && j.Waiting >= least {
		return t
	}
	n := 0
	for n < j.Waiting && p.teams[j.Team].room(j.Need) {
		m := p.best(j, zone)
		if m < 0 {
			break
		}
		t.rank = max(t.rank, p.rank(j, m))
		t.cost += p.machines[m].Load
		p.assign(i, j, m)
		n++
	}
	t.whole = n == j.Waiting
	if plain && !t.whole && p.teams[j.Team].room(j.Need) {
		p.short[k] = j.Waiting // room only shrinks within a pass
	}
	return t
}

// savepoint is what a pass was like when a try began: all that tries change, and of machines
// just those that this one does.
type savepoint struct {
	machines       map[int]savedMachine
	teams          []Team
	inZone         []int
	assigns, stops int
	changes        int
}

type savedMachine struct {
	machine Machine
	own     bool
	image   Image
}

// begin begins a try that can be rolled back, with a gang.
func (p *planner) begin(j *Job) {
	p.saved = &savepoint{machines: map[int]savedMachine{}, teams: slices.Clone(p.teams), inZone: slices.Clone(j.InZone),
		assigns: len(p.out.Assign), stops: len(p.out.Stops), changes: p.changes}
}

// touch has to be called before a machine is changed for j.
func (p *planner) touch(j *Job, m int) {
	p.changes++
	if p.saved == nil {
		return
	}
	if _, done := p.saved.machines[m]; done {
		return
	}
	was := savedMachine{machine: p.machines[m], own: p.own[m]}
	if j.Image != nil {
		was.image = j.Image[m]
	}
	p.saved.machines[m] = was
	p.own[m] = false // its tasks are copied before they change
}

// rollBack brings back the pass, and j, to where the try began.
func (p *planner) rollBack(j *Job) {
	for m, was := range p.saved.machines {
		if p.own[m] {
			p.forget(m)
		}
		p.machines[m], p.own[m] = was.machine, was.own
		if j.Image != nil {
			j.Image[m] = was.image
		}
	}
	copy(p.teams, p.saved.teams)
	copy(j.InZone, p.saved.inZone)
	p.changes = p.saved.changes
	p.out.Assign, p.out.Stops = p.out.Assign[:p.saved.assigns], p.out.Stops[:p.saved.stops]
	p.saved = nil
}

// fits tells whether the team may use n more of a task's amounts.
func (t *Team) fits(need Amounts, n int) bool {
	k := float64(n)
	return t.CPUsUsed+k*need[CPU] <= t.CPUsMax+eps && t.GPUsUsed+k*need[GPU] <= t.GPUsMax+eps
}

// holdFor is how late the tasks may end whose room is waited for.
const holdFor = 2 * time.Minute

// hold closes machines to all that comes behind a gang in this pass: those that have room
// for it soonest, as tasks end, in the zone that has room for all of it first, and of these
// as few as hold it whole. For one that is overdue tasks that end late count too, or it
// might never begin; for others they would keep room idle.
//
// Exception to the design (priority, then arrival, each to the lowest index): small tasks
// take every gap as soon as it is there, and a gang waits for all its gaps at once, which
// the design names as its weak spot. Forced by gangs of 12 that waited behind arrays for
// as long as those came (trace gang-held).
func (p *planner) hold(j *Job, zones []int) {
	var best []int
	var soonest time.Duration
	for _, z := range zones {
		machines, at := p.roomFor(j, z)
		if machines != nil && (best == nil || cmp.Or(cmp.Compare(at, soonest), len(machines)-len(best)) < 0) {
			best, soonest = machines, at
		}
	}
	for _, m := range best {
		p.machines[m].Open = false
	}
}

// roomFor returns the machines of a zone, or of any if it is negative, that will have room
// for a whole gang first, and in what time; nil if they will not.
func (p *planner) roomFor(j *Job, zone int) (machines []int, at time.Duration) {
	late := holdFor
	if j.Overdue {
		late = math.MaxInt64 - 1
	}
	count := map[int]int{} // of gaps in time, by machine
	found := 0
	for _, g := range p.gapsFor(j, zone) {
		if g.at > late || found >= j.Waiting && g.at > at {
			break
		}
		if p.machines[g.machine].Open {
			count[g.machine]++
			at = g.at
			found++
		}
	}
	if found < j.Waiting {
		return nil, 0
	}
	rooms := slices.SortedFunc(maps.Keys(count), func(a, b int) int { return cmp.Or(count[b]-count[a], a-b) })
	for n := 0; n < j.Waiting; {
		m := rooms[len(machines)]
		n += count[m]
		machines = append(machines, m)
	}
	return machines, at
}

// gap is room for one task on a machine, from some time on.
type gap struct {
	at      time.Duration
	machine int
}

// gapList is the gaps for tasks of one kind in one zone, the soonest first, also on machines
// that have been closed since.
type gapList struct {
	gaps    []gap
	changes int // of machines when they were worked out
}

// gapsFor returns the gaps for a gang's tasks in a zone. What gangs of the same kind have in
// common is worked out once as long as no machine changes: each gang that waits looks for room
// in each pass.
func (p *planner) gapsFor(j *Job, zone int) []gap {
	k, plain := j.gangKind(zone)
	if list, known := p.gaps[k]; plain && known && list.changes == p.changes {
		return list.gaps
	}
	var gaps []gap
	for i := range p.machines {
		m := &p.machines[i]
		if !m.Open || !j.Allows(m) || j.avoids(i) || zone >= 0 && m.Zone != zone {
			continue
		}
		free, n := m.Free, 0
		grow := func(at time.Duration) {
			for ; n < free.Times(j.Need); n++ {
				gaps = append(gaps, gap{at, i})
			}
		}
		grow(0)
		for _, e := range p.endings(i) {
			if e.left == math.MaxInt64 {
				break
			}
			free = free.Add(e.need, 1)
			grow(e.left)
		}
	}
	slices.SortStableFunc(gaps, func(a, b gap) int { return cmp.Compare(a.at, b.at) })
	if plain {
		p.gaps[k] = gapList{gaps, p.changes}
	}
	return gaps
}

// gangKind returns the kind of a gang's tasks in a zone; ok is false where its own other tasks
// or its failures matter as well.
func (j *Job) gangKind(zone int) (k kind, ok bool) {
	if j.Avoid != nil || slices.ContainsFunc(j.InZone, func(n int) bool { return n > 0 }) {
		return kind{}, false
	}
	k = kind{need: j.Need, types: j.typeNames(), zone: j.Zone, spot: j.Spot, tried: zone}
	return k, true
}

// ending is the end of a task on a machine.
type ending struct {
	left time.Duration
	need Amounts
}

// endings returns when the tasks on a machine end, in that order.
func (p *planner) endings(machine int) []ending {
	if p.ends[machine] == nil {
		tasks := p.machines[machine].Tasks
		out := make([]ending, len(tasks))
		for i := range tasks {
			out[i] = ending{tasks[i].left(p.now), tasks[i].Need}
		}
		slices.SortStableFunc(out, func(a, b ending) int { return cmp.Compare(a.left, b.left) })
		p.ends[machine] = out
	}
	return p.ends[machine]
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

// victim is what making room for one task on a machine takes.
type victim struct {
	stops []int
	cost  float64
	ok    bool
	known bool
}

// preempt makes room for up to n tasks of j, each by stopping tasks that have to give
// way to it on the one machine where that loses the least run time, among those that
// have the image or will have it soonest: the fetch would cost a service its start
// aim, and more than the tasks lose. Where the
// team is at its limit the tasks stopped are its own. only, if not negative, names the
// zone; warm leaves out machines that do not have the image. It returns for how many tasks
// room is made, and the run time that this loses.
func (p *planner) preempt(i int, j *Job, n, only int, warm bool) (made int, lost float64) {
	team := &p.teams[j.Team]
	var open []int // machines on which tasks may be stopped
	for k := range p.machines {
		if p.machines[k].Open && !j.avoids(k) && (only < 0 || p.machines[k].Zone == only) && !(warm && p.rank(j, k) > 0) && !(j.Urgent && p.promised(k)) {
			open = append(open, k)
		}
	}
	for ; made < n; made++ {
		over := team.over(j.Need)
		costs := p.costs(j, over)
		cheaper := func(a, b int) int {
			rank, cost := cmp.Compare(p.rank(j, a), p.rank(j, b)), cmp.Compare(costs[a].cost, costs[b].cost)
			if j.Gang && !j.Costly {
				return cmp.Or(cost, rank) // its last task decides, and room is free in part
			}
			return cmp.Or(rank, cost)
		}
		best := -1
		for _, k := range open {
			m := &p.machines[k]
			if !j.Allows(m) {
				continue
			}
			v := &costs[k]
			if !v.known {
				*v = p.victimsOn(m, j, over)
			}
			if !v.ok {
				continue
			}
			if best < 0 || cheaper(k, best) < 0 {
				best = k
			}
		}
		if best < 0 {
			return made, lost
		}
		lost += costs[best].cost
		p.touch(j, best)
		m := &p.machines[best]
		if !p.own[best] {
			m.Tasks, p.own[best] = slices.Clone(m.Tasks), true
		}
		var freed Amounts
		for _, v := range costs[best].stops {
			t := &m.Tasks[v]
			if !t.Stopping {
				t.Stopping = true
				p.out.Stops = append(p.out.Stops, Stop{best, t.ID, i})
			}
			freed = freed.Add(t.Need, 1)
			p.teams[t.Team].stopped = p.teams[t.Team].stopped.Add(t.Need, 1)
			t.Need = Amounts{} // promised to j
		}
		p.forget(best)
		// What stops is still there and counts until it is gone: nobody gets any of
		// it in this pass, not even what is more than j needs.
		for r := range m.Free {
			m.Free[r] = min(m.Free[r], m.Free[r]+freed[r]-j.Need[r])
		}
		team.use(j.Need, 1)
		j.InZone[m.Zone]++
	}
	return made, lost
}

// promised tells whether others that come before would take what becomes free on a machine.
//
// It guards against tasks stopped in vain, again and again: a gang that was beyond its team's
// guarantee stopped 52 tasks in a second, and arrays of its priority, within their teams',
// took all of the room before the last of them was gone (inc-f015).
func (p *planner) promised(machine int) bool {
	for _, j := range p.starved {
		if j.Allows(&p.machines[machine]) && !j.avoids(machine) {
			return true
		}
	}
	return false
}

// forget drops what was worked out from the tasks on a machine.
func (p *planner) forget(machine int) {
	p.ends[machine] = nil
	for _, costs := range p.victims {
		costs[machine].known = false
	}
}

// costs returns what making room for a task would cost on each machine, as far as
// it is known from tasks with the same claim earlier in this pass.
func (p *planner) costs(j *Job, over Amounts) []victim {
	if over != (Amounts{}) {
		return make([]victim, len(p.machines)) // depends on the team and its use
	}
	k := claim{j.Need, j.Priority, j.Urgent, j.Displace}
	if p.victims[k] == nil {
		p.victims[k] = make([]victim, len(p.machines))
	}
	return p.victims[k]
}

// yields tells whether a task has to give way to j: to an urgent job one of lower
// priority, and to work within its team's guarantee the work of teams that have none.
//
// It guards against teams without a guarantee that keep what others were promised: on inc-bc39 long tasks
// of a team without a guarantee held most machines for 400 s, and of audit-backfill, of the same
// priority and within its teams' guarantees, 0.54 was done by its deadline in place of
// 0.93 (PROTOCOL-tulipshelf.md, "Preemption").
func (p *planner) yields(t *Task, j *Job) bool {
	return j.Urgent && t.Priority < j.Priority || j.Displace && p.teams[t.Team].Opportunistic
}

// victimsOn picks tasks that give way to j, those already stopping and the youngest
// first, until j's task fits and its team is over its limit no more. The cost is the run
// time lost.
func (p *planner) victimsOn(m *Machine, j *Job, over Amounts) victim {
	v := victim{known: true}
	free := m.Free
	limited := over != (Amounts{})
	var order []int
	for i, t := range m.Tasks {
		if t.Team >= 0 && t.Need != (Amounts{}) && (!limited || t.Team == j.Team) && p.yields(&m.Tasks[i], j) {
			order = append(order, i)
		}
	}
	slices.SortFunc(order, func(x, y int) int {
		a, b := &m.Tasks[x], &m.Tasks[y]
		switch {
		case a.Stopping != b.Stopping && a.Stopping:
			return -1
		case a.Stopping != b.Stopping:
			return 1
		case a.Priority != b.Priority:
			return a.Priority - b.Priority
		case !a.Since.Equal(b.Since):
			return b.Since.Compare(a.Since)
		}
		return a.ID - b.ID
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
		v.stops = append(v.stops, i)
		if !t.Stopping {
			v.cost += p.now.Sub(t.Since).Seconds() * float64(1+t.Mates)
		}
	}
	v.ok = enough()
	return v
}
