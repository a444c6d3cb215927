package main

// Stand-ins of the cloud and of the workers on its machines.

import (
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
)

type machineType struct {
	name               string
	cpus, ramGB        float64
	hourly, spotHourly float64
	startupS, pullRate float64
	zones              []string
}

type cloudServer struct {
	w        *world
	mu       sync.Mutex
	mt       machineType
	capacity map[string]int // ordinary machines by zone
	machines map[string]*worker
	hires    map[string][]string
	next     int
	lag      time.Duration
	down     bool
	boot     time.Duration // boot time of machines that are rented; 0: the usual one
	onRent   func(*worker)
	onReturn func(node string, names []string)
	returned map[string]time.Time
}

func newCloud(w *world, mt machineType, capacity map[string]int, lag time.Duration) *cloudServer {
	c := &cloudServer{w: w, mt: mt, capacity: capacity, machines: map[string]*worker{}, hires: map[string][]string{}, lag: lag, next: 1, returned: map[string]time.Time{}}
	return c
}

func (c *cloudServer) setDown(down bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.down = down
	logf("cloud down=%v", down)
}

// add creates a machine that is up after a boot time.
func (c *cloudServer) add(zone string, spot bool, boot time.Duration) *worker {
	name := "vm-" + pad(c.next)
	c.next++
	m := newWorker(c.w, name, c.mt, zone, spot)
	c.machines[name] = m
	go m.run(boot)
	return m
}

func (c *cloudServer) list() []*worker {
	c.mu.Lock()
	defer c.mu.Unlock()
	var all []*worker
	for _, m := range c.machines {
		all = append(all, m)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].name < all[j].name })
	return all
}

// countUp returns the number of machines that are up.
func (c *cloudServer) countUp() int {
	n := 0
	for _, m := range c.list() {
		m.mu.Lock()
		if m.up && !m.gone {
			n++
		}
		m.mu.Unlock()
	}
	return n
}

// rentals returns the number of rentals that were answered with machines.
func (c *cloudServer) rentals() int { c.mu.Lock(); defer c.mu.Unlock(); return len(c.hires) }

// handler answers the requests of one controller.
func (c *cloudServer) handler(node string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { c.serve(w, r, node) })
}

func (c *cloudServer) serve(w http.ResponseWriter, r *http.Request, node string) {
	body := readBody(r)
	time.Sleep(100 * time.Millisecond)
	c.mu.Lock()
	if c.down {
		c.mu.Unlock()
		reply(w, 503, map[string]any{"error": "trouble"})
		return
	}
	switch {
	case r.URL.Path == "/catalog":
		c.mu.Unlock()
		reply(w, 200, map[string]any{"builds": []any{map[string]any{"name": c.mt.name, "cpus": c.mt.cpus, "gpus": 0.0, "ram_gb": c.mt.ramGB,
			"local_gb": 70.0, "pull_gb_per_s": c.mt.pullRate, "hourly": c.mt.hourly, "spot_price": c.mt.spotHourly, "startup_s": c.mt.startupS, "depots": c.mt.zones}}})
	case r.URL.Path == "/rentals" && r.Method == "GET":
		out := c.page(r)
		c.mu.Unlock()
		reply(w, 200, out)
	case r.URL.Path == "/rentals":
		status, out := c.rent(body)
		c.mu.Unlock()
		reply(w, status, out)
	case r.URL.Path == "/rentals/return":
		var q struct {
			Shelves []string `cbor:"shelves"`
		}
		if cbor.Unmarshal(body, &q) != nil || len(q.Shelves) > 100 {
			c.mu.Unlock()
			reply(w, 400, nil)
			return
		}
		if c.onReturn != nil {
			c.onReturn(node, q.Shelves)
		}
		c.giveBack(q.Shelves)
		c.mu.Unlock()
		reply(w, 200, map[string]any{})
	default:
		c.mu.Unlock()
		reply(w, 400, nil)
	}
}

func (c *cloudServer) giveBack(names []string) {
	for _, n := range names {
		if m := c.machines[n]; m != nil {
			m.kill("returned")
			delete(c.machines, n)
			c.returned[n] = time.Now()
		}
	}
}

func (c *cloudServer) page(r *http.Request) any {
	limit, _ := strconv.Atoi(r.URL.Query().Get("limit"))
	after := r.URL.Query().Get("after")
	var all []*worker
	for _, m := range c.machines {
		if time.Since(m.created) >= c.lag && m.name > after {
			all = append(all, m)
		}
	}
	sort.Slice(all, func(i, j int) bool { return all[i].name < all[j].name })
	more := len(all) > limit
	if more {
		all = all[:limit]
	}
	shelves := []any{}
	for _, m := range all {
		status := "starting"
		if m.isUp() {
			status = "running"
		}
		shelves = append(shelves, map[string]any{"uid": m.name, "endpoint": m.addr, "build": c.mt.name, "depot": m.zone, "loaners": m.spot, "status": status, "held_s": time.Since(m.created).Seconds() + 0.5})
	}
	return map[string]any{"shelves": shelves, "has_next": more}
}

func (c *cloudServer) rent(body []byte) (int, any) {
	var q struct {
		Hire    string `cbor:"hire"`
		Build   string `cbor:"build"`
		Depot   string `cbor:"depot"`
		Loaners bool   `cbor:"loaners"`
		Number  int    `cbor:"number"`
	}
	if cbor.Unmarshal(body, &q) != nil || q.Number < 1 || q.Number > 50 || q.Build != c.mt.name {
		return 400, nil
	}
	if names, ok := c.hires[q.Hire]; ok {
		return 200, map[string]any{"shelves": names}
	}
	var names []string
	for range q.Number {
		if q.Loaners || c.inZone(q.Depot) >= c.capacity[q.Depot] {
			break
		}
		boot := c.boot
		if boot == 0 {
			boot = secs(c.mt.startupS)
		}
		m := c.add(q.Depot, false, boot)
		if c.onRent != nil {
			c.onRent(m)
		}
		names = append(names, m.name)
	}
	if names == nil {
		return 503, map[string]any{"error": "no capacity"}
	}
	c.hires[q.Hire] = names
	logf("cloud rents %v", names)
	return 200, map[string]any{"shelves": names}
}

func (c *cloudServer) inZone(zone string) int {
	n := 0
	for _, m := range c.machines {
		if m.zone == zone {
			n++
		}
	}
	return n
}

// attempt is one attempt of a task on a machine.
type attempt struct {
	task   string
	try    uint64
	status string
	cause  string
	timer  *time.Timer
}

type worker struct {
	w       *world
	name    string
	addr    string
	stop    func()
	mt      machineType
	zone    string
	spot    bool
	created time.Time
	wake    chan struct{}

	mu       sync.Mutex
	up, gone bool
	hung     bool
	deaf     bool            // answers and direct commands are lost
	cut      map[string]bool // controllers that the worker cannot reach; "*": all, and direct commands are lost
	holdCmds bool            // direct commands are held back
	sick     bool            // every task that starts fails
	held     []func()
	shift    uint64
	tick     uint64
	baton    uint64
	renewed  time.Time
	tries    map[string]map[uint64]*attempt
	images   map[string]time.Time
}

func newWorker(w *world, name string, mt machineType, zone string, spot bool) *worker {
	return &worker{w: w, name: name, mt: mt, zone: zone, spot: spot, created: time.Now(), wake: make(chan struct{}, 1),
		shift: 1, tries: map[string]map[uint64]*attempt{}, cut: map[string]bool{}, images: map[string]time.Time{}}
}

func (m *worker) isUp() bool { m.mu.Lock(); defer m.mu.Unlock(); return m.up }

func (m *worker) set(change func(*worker)) { m.mu.Lock(); change(m); m.mu.Unlock() }

func (m *worker) kill(why string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.gone {
		return
	}
	m.gone = true
	m.dropTasks(why)
	if m.stop != nil {
		go m.stop()
	}
	logf("%s %s", m.name, why)
}

func (m *worker) dropTasks(why string) {
	for _, tries := range m.tries {
		for _, a := range tries {
			if a.status != "exited" {
				a.timer.Stop()
				if a.status != "pulling" {
					m.w.check.left(a.task, m, why)
				}
			}
		}
	}
	m.tries = map[string]map[uint64]*attempt{}
}

func (m *worker) run(boot time.Duration) {
	addr, stop := serve(http.HandlerFunc(m.direct))
	m.mu.Lock()
	m.addr, m.stop = addr, stop
	m.mu.Unlock()
	time.Sleep(boot)
	m.mu.Lock()
	m.up, m.renewed = true, time.Now()
	m.mu.Unlock()
	at := m.w.rand(len(m.w.nodes))
	for {
		m.mu.Lock()
		if m.gone {
			m.mu.Unlock()
			return
		}
		if m.hung {
			m.mu.Unlock()
			time.Sleep(50 * time.Millisecond)
			continue
		}
		if time.Since(m.renewed) > m.w.lease {
			if n := m.live(); n > 0 {
				logf("%s lease ends, %d tasks killed", m.name, n)
			}
			m.dropTasks("lease")
			m.shift++
			m.renewed = time.Now()
		}
		node := m.w.nodes[at]
		report, shift := m.report(), m.shift
		cut := m.cut["*"] || m.cut[node.name]
		sent := time.Now()
		m.mu.Unlock()
		status, answer := 0, map[string]any(nil)
		if cut {
			m.pause(4 * time.Second)
		} else {
			status, answer, _ = call("POST", node.addr, "/v1/report", report, 4*time.Second)
		}
		m.mu.Lock()
		if (m.cut["*"] || m.cut[node.name] || m.deaf) && status != 0 {
			m.mu.Unlock()
			m.pause(4*time.Second - time.Since(sent))
			m.mu.Lock()
			status = 0
		}
		if m.hung {
			status = 0
		}
		switch status {
		case 200:
			if shift == m.shift {
				m.accept(answer, sent)
			}
			m.mu.Unlock()
			half := m.w.report / 4
			wait := m.w.report - half + time.Duration(m.w.rand(int(2*half)))
			time.Sleep(500 * time.Millisecond)
			select {
			case <-m.wake:
			case <-time.After(wait - 500*time.Millisecond):
			}
			continue
		case 421:
			m.mu.Unlock()
			foreman, _ := answer["foreman"].(string)
			if i := m.w.index(foreman); i >= 0 && i != at {
				at = i
				time.Sleep(time.Duration(m.w.rand(int(500 * time.Millisecond))))
				continue
			}
		default:
			m.mu.Unlock()
		}
		at = (at + 1) % len(m.w.nodes)
		m.pause(time.Second)
	}
}

// pause waits, and returns early if the lease ends.
func (m *worker) pause(d time.Duration) {
	m.mu.Lock()
	left := m.w.lease - time.Since(m.renewed) + 10*time.Millisecond
	m.mu.Unlock()
	time.Sleep(max(0, min(d, max(left, 10*time.Millisecond))))
}

func (m *worker) live() int {
	n := 0
	for _, t := range m.tries {
		for _, a := range t {
			if a.status != "exited" {
				n++
			}
		}
	}
	return n
}

func (m *worker) report() map[string]any {
	m.tick++
	tickets := []any{}
	for _, tries := range m.tries {
		for _, a := range tries {
			e := map[string]any{"ticket": a.task, "try": a.try, "status": a.status}
			if a.status == "exited" {
				e["cause"] = a.cause
			}
			tickets = append(tickets, e)
		}
	}
	return map[string]any{"shelf": m.name, "endpoint": m.addr, "build": m.mt.name, "depot": m.zone, "loaners": m.spot,
		"shift": m.shift, "tick": m.tick, "baton": m.baton, "recall_s": nil, "tickets": tickets}
}

func (m *worker) accept(answer map[string]any, sent time.Time) {
	baton, _ := answer["baton"].(uint64)
	if baton < m.baton || baton == 0 {
		return
	}
	if baton > m.baton {
		m.baton = baton
		m.changed()
	}
	m.renewed = sent
	orders, _ := answer["orders"].([]any)
	m.execute(orders)
}

func (m *worker) changed() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

func (m *worker) direct(w http.ResponseWriter, r *http.Request) {
	body := readBody(r)
	m.mu.Lock()
	if m.gone || m.hung || m.deaf || m.cut["*"] || !m.up {
		m.mu.Unlock()
		drop(w, r)
		return
	}
	if r.URL.Path == "/status" {
		out := m.report()
		m.mu.Unlock()
		reply(w, 200, out)
		return
	}
	var q map[string]any
	if r.URL.Path != "/commands" || cbor.Unmarshal(body, &q) != nil {
		m.mu.Unlock()
		reply(w, 400, nil)
		return
	}
	if m.holdCmds {
		m.held = append(m.held, func() { m.command(q) })
		m.mu.Unlock()
		drop(w, r)
		return
	}
	status, out := m.command(q)
	m.mu.Unlock()
	reply(w, status, out)
}

func (m *worker) command(q map[string]any) (int, any) {
	baton, ok1 := q["baton"].(uint64)
	shift, ok2 := q["shift"].(uint64)
	if !ok1 || !ok2 {
		return 400, nil
	}
	if baton < m.baton || shift != m.shift || m.gone {
		return 409, m.report()
	}
	if baton > m.baton {
		m.baton = baton
		m.changed()
	}
	orders, _ := q["orders"].([]any)
	m.execute(orders)
	return 200, m.report()
}

func (m *worker) execute(orders []any) {
	for _, o := range orders {
		q, _ := o.(map[any]any)
		verb, _ := q["verb"].(string)
		task, _ := q["ticket"].(string)
		try, _ := q["try"].(uint64)
		if m.tries[task] == nil {
			m.tries[task] = map[uint64]*attempt{}
		}
		a := m.tries[task][try]
		switch {
		case verb == "run" && a == nil:
			m.tries[task][try] = m.start(task, try)
			m.changed()
		case verb == "halt" && a != nil && a.status != "exited":
			m.exit(a, "stopped")
		case verb == "forget" && a != nil && a.status == "exited":
			delete(m.tries[task], try)
		}
	}
}

func (m *worker) exit(a *attempt, cause string) {
	a.timer.Stop()
	if a.status != "pulling" {
		m.w.check.left(a.task, m, cause)
	}
	a.status, a.cause = "exited", cause
	m.changed()
}

func (m *worker) start(task string, try uint64) *attempt {
	a := &attempt{task: task, try: try, status: "exited"}
	j := m.w.check.jobOf(task)
	if j == nil {
		a.cause = "unknown"
		return a
	}
	for _, other := range m.tries[task] {
		if other.status != "exited" {
			a.cause = "in_use"
			return a
		}
	}
	cpus, ram := j.cpus, j.ram
	for t, tries := range m.tries {
		for _, other := range tries {
			if other.status != "exited" {
				oj := m.w.check.jobOf(t)
				cpus, ram = cpus+oj.cpus, ram+oj.ram
			}
		}
	}
	if cpus > m.mt.cpus+1e-6 || ram > m.mt.ramGB+1e-6 {
		a.cause = "no_room"
		return a
	}
	a.status = "pulling"
	begin := func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		if a.status != "pulling" || m.gone || m.tries[task][try] != a {
			return
		}
		if m.w.check.isDone(task) {
			m.w.check.started(task, m)
			m.w.check.left(task, m, "done")
			a.status, a.cause = "exited", "done"
			m.changed()
			return
		}
		m.w.check.started(task, m)
		a.status = "running"
		m.changed()
		if m.sick {
			a.timer = time.AfterFunc(200*time.Millisecond, func() { m.fail(a) })
			return
		}
		if j.shape == "service" {
			return
		}
		a.timer = time.AfterFunc(j.run, func() { m.finish(a) })
	}
	pull := time.Duration(0)
	if ready, ok := m.images[j.image]; !ok {
		pull = time.Duration(j.imageGB / m.mt.pullRate * float64(time.Second))
		m.images[j.image] = time.Now().Add(pull)
	} else {
		pull = max(0, time.Until(ready))
	}
	a.timer = time.AfterFunc(pull+time.Millisecond, begin)
	return a
}

func (m *worker) fail(a *attempt) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if a.status == "running" && !m.gone {
		logf("%s fails on %s", a.task, m.name)
		m.exit(a, "error")
	}
}

func (m *worker) finish(a *attempt) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.hung && !m.gone && a.status == "running" { // a hanging machine does not execute its tasks
		a.timer = time.AfterFunc(200*time.Millisecond, func() { m.finish(a) })
		return
	}
	if a.status != "running" || m.gone {
		return
	}
	m.exit(a, "done")
}
