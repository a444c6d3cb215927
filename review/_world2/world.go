package main

// The world of a run: the project's controllers as processes, and the stand-ins around them.

import (
	"encoding/json"
	"fmt"
	"io"
	"log"
	"math/rand"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

var (
	discard = log.New(io.Discard, "", 0)
	started = time.Now()
	logMu   sync.Mutex
	record  io.Writer = os.Stdout
	verbose bool
)

func logf(format string, args ...any) {
	logMu.Lock()
	defer logMu.Unlock()
	fmt.Fprintf(record, "%7.2f %s\n", time.Since(started).Seconds(), fmt.Sprintf(format, args...))
}

func debugf(format string, args ...any) {
	if verbose {
		logf(format, args...)
	}
}

func must(err error) {
	if err != nil {
		logf("the case cannot run: %v", err)
		exit(2)
	}
}

var theWorld *world

// exit ends the processes that this run has started, and then the run.
func exit(code int) {
	if theWorld != nil {
		theWorld.stopAll()
	}
	os.Exit(code)
}

func pad(n int) string { return fmt.Sprintf("%06d", n) }

// link is a TCP proxy from one controller to another.
type link struct {
	mu     sync.Mutex
	addr   string
	target string
	mode   string // "": pass; "refuse": reset; "hang": nothing passes
	conns  map[net.Conn]bool
}

func newLink(target string) *link {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	must(err)
	k := &link{addr: l.Addr().String(), target: target, conns: map[net.Conn]bool{}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go k.pass(c)
		}
	}()
	return k
}

func (k *link) currentMode() string { k.mu.Lock(); defer k.mu.Unlock(); return k.mode }

func (k *link) set(mode string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.mode = mode
	if mode != "" {
		for c := range k.conns {
			c.(*net.TCPConn).SetLinger(0)
			c.Close()
		}
		k.conns = map[net.Conn]bool{}
	}
}

func (k *link) pass(c net.Conn) {
	defer c.Close()
	switch k.currentMode() {
	case "refuse":
		c.(*net.TCPConn).SetLinger(0)
		return
	case "hang":
		io.Copy(io.Discard, c)
		return
	}
	t, err := net.Dial("tcp4", k.target)
	if err != nil {
		return
	}
	defer t.Close()
	k.mu.Lock()
	k.conns[c] = true
	k.mu.Unlock()
	go func() { io.Copy(t, c); t.(*net.TCPConn).CloseWrite() }()
	io.Copy(c, t)
	k.mu.Lock()
	delete(k.conns, c)
	k.mu.Unlock()
}

type node struct {
	w          *world
	name, zone string
	addr       string
	peerAddr   string
	config     string
	links      map[string]*link // to each other controller
	mu         sync.Mutex
	cmd        *exec.Cmd
	exited     chan struct{}
	wanted     bool // whether the process should run
	runs       int
}

type team struct {
	name          string
	cpus, maxCPUs float64
}

type world struct {
	store                  *store
	cloud                  *cloudServer
	check                  *checker
	nodes                  []*node
	dir                    string
	logs                   string
	lease, report, cancelS time.Duration
	rnd                    *rand.Rand
	rndMu                  sync.Mutex
	nextJob                int
	unexpected             []string
	rollAfter              int // number of starts of a controller that use the earlier version
}

// site holds the settings of a deployment.
type site struct {
	name                     string
	zones                    []string
	nodeZones                []string
	leaseS, reportS, cancelS float64
	rps, writeRPS, valueKB   float64
	txnOps                   int
	cloudRPS, lagS           float64
	teams                    []team
	mt                       machineType
	capacity                 map[string]int
	machines                 map[string]int // up at the start, by zone
	next                     map[string]any // state.next
	objectives               []any
}

func kapana() site {
	return site{name: "kapana-orders", zones: []string{"walvis-bay", "windhoek-north"}, nodeZones: []string{"windhoek-north", "walvis-bay", "windhoek-north"},
		leaseS: 26, reportS: 3, cancelS: 51, rps: 80, writeRPS: 25, valueKB: 8, txnOps: 8, cloudRPS: 5, lagS: 4,
		teams:    []team{{"kitchen-ops", 24, 64}, {"rider-desk", 48, 96}, {"ledger-crew", 40, 72}},
		mt:       machineType{"counter-box", 4, 16, 0.21, 0.1, 50, 1, []string{"windhoek-north", "walvis-bay"}},
		capacity: map[string]int{"windhoek-north": 11, "walvis-bay": 14}, machines: map[string]int{"windhoek-north": 3, "walvis-bay": 3},
		objectives: []any{map[string]any{"kind": "wait", "class": "order-intake", "within_s": 4.0, "share": 0.88},
			map[string]any{"kind": "deadline", "class": "menu-sync", "share": 0.88, "times": 1.0},
			map[string]any{"kind": "guarantee", "within_s": 10.0, "share": 0.82}},
	}
}

func omaruru() site {
	s := site{name: "omaruru-fares", zones: []string{"windhoek-depot", "katutura-depot", "rehoboth-depot", "okahandja-depot"}, nodeZones: []string{"windhoek-depot", "katutura-depot", "rehoboth-depot"},
		leaseS: 24, reportS: 3, cancelS: 54, rps: 250, writeRPS: 20, valueKB: 32, txnOps: 16, cloudRPS: 3, lagS: 5,
		mt:         machineType{"depot-node", 4, 8, 0.26, 0.07, 20, 0.15, []string{"windhoek-depot", "katutura-depot", "rehoboth-depot", "okahandja-depot"}},
		capacity:   map[string]int{"windhoek-depot": 5, "katutura-depot": 7, "rehoboth-depot": 6, "okahandja-depot": 6},
		objectives: []any{map[string]any{"kind": "guarantee", "within_s": 20.0, "share": 0.9}},
	}
	for i := range 10 {
		s.teams = append(s.teams, team{fmt.Sprintf("fare-core-%d", i), 8, 24})
	}
	return s
}

func newWorld(s site, seed int64) *world {
	dir, err := os.MkdirTemp("", "world2-")
	must(err)
	w := &world{dir: dir, lease: secs(s.leaseS), report: secs(s.reportS), cancelS: secs(s.cancelS), rnd: rand.New(rand.NewSource(seed)), nextJob: 1, rollAfter: 1}
	theWorld = w
	w.logs = os.Getenv("WORLD_LOGS")
	w.check = &checker{w: w, jobs: map[string]*jobInfo{}, on: map[string]map[*worker]time.Time{}, limit: map[string]float64{}}
	for _, t := range s.teams {
		w.check.limit[t.name] = t.maxCPUs
	}
	w.store = newStore(s.rps, s.writeRPS, s.valueKB, s.txnOps)
	w.cloud = newCloud(w, s.mt, s.capacity, secs(s.lagS))
	for i, zone := range s.nodeZones {
		w.nodes = append(w.nodes, &node{w: w, name: fmt.Sprintf("shelf-%d", i), zone: zone, addr: freePort(), peerAddr: freePort(), links: map[string]*link{}})
	}
	for _, n := range w.nodes {
		n.configure(s)
	}
	go func() {
		for range time.Tick(100 * time.Millisecond) {
			w.check.tick()
		}
	}()
	return w
}

func secs(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func (w *world) rand(n int) int {
	w.rndMu.Lock()
	defer w.rndMu.Unlock()
	if n <= 0 {
		return 0
	}
	return w.rnd.Intn(n)
}

func (w *world) index(name string) int {
	for i, n := range w.nodes {
		if n.name == name {
			return i
		}
	}
	return -1
}

func (n *node) configure(s site) {
	stateAddr, _ := serve(n.w.store.handler(n.name))
	cloudAddr, _ := serve(n.w.cloud.handler(n.name))
	peers := []any{}
	for _, o := range n.w.nodes {
		if o != n {
			n.links[o.name] = newLink(o.peerAddr)
			peers = append(peers, map[string]any{"node_name": o.name, "site": o.zone, "endpoint": n.links[o.name].addr})
		}
	}
	teams := []any{}
	for _, t := range s.teams {
		teams = append(teams, map[string]any{"name": t.name, "cpus": t.cpus, "cpus_max": t.maxCPUs, "gpus": 0.0, "gpus_max": 0.0})
	}
	state := map[string]any{"rps": s.rps, "write_rps": s.writeRPS, "value_kb": s.valueKB, "txn_ops": s.txnOps}
	if s.next != nil {
		state["next"] = s.next
	}
	settings := map[string]any{"node_name": n.name, "site": n.zone, "listen": n.addr, "peer_listen": n.peerAddr, "peers": peers,
		"endpoints": map[string]any{"cloud": cloudAddr, "state": stateAddr},
		"params": map[string]any{"initial_size": 3, "zones": s.zones, "teams": teams, "objectives": s.objectives,
			"workers": map[string]any{"report_s": s.reportS, "lease_s": s.leaseS, "gang_wait_s": 45.0, "gang_peer_s": 4.0, "cancel_s": s.cancelS},
			"state":   state, "cloud": map[string]any{"rps": s.cloudRPS, "list_lag_s": s.lagS},
			"resources":     map[string]any{"cpu_share": 0.096, "mem_mb": 125.0, "max_sockets": 1000},
			"time_bound_ms": 100.0}}
	data, _ := json.MarshalIndent(settings, "", " ")
	n.config = filepath.Join(n.w.dir, n.name+".json")
	must(os.WriteFile(n.config, data, 0o600))
}

// start starts the controller's process with the run command of the deploy file.
func (n *node) start() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.wanted {
		return // it runs already
	}
	n.runs++
	program := "target/tulipshelf"
	if earlier := os.Getenv("EARLIER"); earlier != "" && n.runs <= n.w.rollAfter {
		program = earlier // an earlier version, for days of the hunt with an upgrade
	}
	cmd := exec.Command(program, "--config", n.config)
	cmd.Env = append(os.Environ(), "LOG_LEVEL=info")
	if n.w.logs != "" {
		cmd.Env = append(os.Environ(), "LOG_LEVEL=debug")
		f, err := os.OpenFile(filepath.Join(n.w.logs, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		must(err)
		cmd.Stderr = f
	}
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	must(cmd.Start())
	n.cmd, n.wanted, n.exited = cmd, true, make(chan struct{})
	exited := n.exited
	go func() {
		err := cmd.Wait()
		n.mu.Lock()
		if n.wanted && n.cmd == cmd {
			logf("UNEXPECTED end of %s: %v", n.name, err)
			n.w.unexpected = append(n.w.unexpected, n.name)
		}
		n.mu.Unlock()
		close(exited)
	}()
	debugf("%s starts", n.name)
}

// kill ends the process with SIGKILL.
func (n *node) kill() {
	n.mu.Lock()
	n.wanted = false
	cmd, exited := n.cmd, n.exited
	n.mu.Unlock()
	if cmd == nil {
		return
	}
	cmd.Process.Kill()
	<-exited
	debugf("%s killed", n.name)
}

func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cmd.Process.Signal(s)
	logf("%s gets %v", n.name, s)
}

func (w *world) stopAll() {
	for _, n := range w.nodes {
		n.mu.Lock()
		if n.cmd != nil {
			n.wanted = false
			n.cmd.Process.Signal(syscall.SIGCONT)
			n.cmd.Process.Kill()
		}
		n.mu.Unlock()
	}
	for _, n := range w.nodes {
		if n.exited != nil {
			select {
			case <-n.exited:
			case <-time.After(5 * time.Second):
			}
		}
	}
	os.RemoveAll(w.dir)
}

// startAll starts the controllers and the machines that are up at the start, and waits until a leader is
// elected and each controller is ready.
func (w *world) startAll(s site) {
	for zone, count := range s.machines {
		w.cloud.mu.Lock()
		for range count {
			m := w.cloud.add(zone, false, 0)
			m.created = time.Now().Add(-time.Minute)
		}
		w.cloud.mu.Unlock()
	}
	for _, n := range w.nodes {
		n.start()
	}
	if !await(20*time.Second, func() bool {
		for _, n := range w.nodes {
			if status, _, _ := call("GET", n.addr, "/ready", nil, time.Second); status != 200 {
				return false
			}
		}
		return w.store.holder() != ""
	}) {
		logf("the controllers are not ready")
		exit(2)
	}
	logf("controllers ready, %s leads", w.store.holder())
}

// await waits until a condition holds, at most for a time, and reports whether it does.
func await(limit time.Duration, condition func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return condition()
}

func (w *world) leader() *node {
	if i := w.index(w.store.holder()); i >= 0 {
		return w.nodes[i]
	}
	return nil
}

// newJob makes the description of a job.
func (w *world) newJob(shape, lane, teamName string, tasks int, cpus, ram, run float64) *jobInfo {
	w.check.mu.Lock()
	defer w.check.mu.Unlock()
	id := "wk-" + pad(w.nextJob)
	w.nextJob++
	expect, rank := run, "standard"
	if shape == "service" {
		expect, rank = 0, "high"
	}
	j := &jobInfo{id: id, team: teamName, shape: shape, tasks: tasks, cpus: cpus, ram: ram, run: secs(run), image: "img-" + lane, imageGB: 0.2, done: map[string]bool{}}
	j.body = map[string]any{"uid": id, "lane": lane, "crew": teamName, "shape": shape, "rank": rank, "tickets": tasks, "cpus": cpus, "gpus": 0.0, "ram_gb": ram,
		"bundle": j.image, "image_gb": j.imageGB, "builds": nil, "depot": nil, "same_place": false, "apart": false, "loaners": shape == "array",
		"expect_s": expect, "stash_every_s": 0.0, "stash_s": 0.0, "due_s": nil}
	w.check.jobs[id] = j
	return j
}

// submit sends the submission once and returns the status.
func (w *world) submit(n *node, j *jobInfo) int {
	w.check.mu.Lock()
	j.submitted = true
	w.check.mu.Unlock()
	sent := time.Now()
	status, answer, _ := call("POST", n.addr, "/v1/jobs", j.body, 5*time.Second)
	state, _ := answer["status"].(string)
	w.check.answered("submit", n.name, j.id, status, state, sent)
	return status
}

func (w *world) poll(n *node, id string) (int, string) {
	sent := time.Now()
	status, answer, _ := call("GET", n.addr, "/v1/jobs/"+id, nil, 2*time.Second)
	state, _ := answer["status"].(string)
	w.check.answered("poll", n.name, id, status, state, sent)
	return status, state
}

func (w *world) cancel(n *node, j *jobInfo) (int, string) {
	w.check.mu.Lock()
	if j.cancelAsked.IsZero() {
		j.cancelAsked = time.Now()
	}
	w.check.mu.Unlock()
	sent := time.Now()
	status, answer, _ := call("POST", n.addr, "/v1/jobs/"+j.id+"/abort", nil, 5*time.Second)
	state, _ := answer["status"].(string)
	w.check.answered("abort", n.name, j.id, status, state, sent)
	return status, state
}

// submitUntil repeats a submission, at any controller, until it is accepted.
func (w *world) submitUntil(j *jobInfo, limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(time.Second) {
		if s := w.submit(w.nodes[w.rand(len(w.nodes))], j); s == 200 || s == 201 {
			return true
		} else if s == 400 || s == 422 {
			return false
		}
	}
	return false
}

func (w *world) cancelUntil(j *jobInfo, limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(time.Second) {
		if s, _ := w.cancel(w.nodes[w.rand(len(w.nodes))], j); s == 200 {
			return true
		}
	}
	return false
}

// onMachines returns the number of tasks of a job that are on a machine.
func (w *world) onMachines(id string) int {
	w.check.mu.Lock()
	defer w.check.mu.Unlock()
	return w.runningLocked(id)
}

// machineOf returns a machine that holds a task of a job; nil if there is none.
func (w *world) machineOf(id string) *worker {
	w.check.mu.Lock()
	defer w.check.mu.Unlock()
	for t, on := range w.check.on {
		for m := range on {
			if jobID(t) == id {
				return m
			}
		}
	}
	return nil
}

// runningLocked is onMachines for a caller that holds the lock of the checker.
func (w *world) runningLocked(id string) int {
	n := 0
	for t, on := range w.check.on {
		if jobID(t) == id {
			n += len(on)
		}
	}
	return n
}
