// Command world starts three controllers as separate processes on loopback addresses, and beside them the
// stand-ins of the state service, the cloud, the workers and the users.
package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"reflect"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/fxamacker/cbor/v2"
)

var decMode, _ = cbor.DecOptions{DefaultMapType: reflect.TypeOf(map[string]any{})}.DecMode()

// Node is one controller process.
type Node struct {
	w        *World
	index    int
	name     string
	zone     string
	public   string
	peerAddr string
	settings string

	mu      sync.Mutex
	cmd     *exec.Cmd
	running bool
	ended   bool // the test is over
	deaths  int  // ends that the test did not cause
	killed  bool
}

type World struct {
	begin        time.Time
	end          time.Time
	dir          string
	record       *os.File
	recordMu     sync.Mutex
	net          int // second byte of the loopback addresses
	zones        []string
	nodes        []*Node
	store        *Store
	cloud        *Cloud
	users        *Users
	rules        *Rules
	gangs        *Gangs
	links        map[[2]int]*Link // peer connections, from and to
	lease        time.Duration
	reportEvery  time.Duration
	cancelWithin time.Duration
	limits       map[string]float64
	program      []string
	teams        []map[string]any
	homes        []string // zones of the controllers
	build        map[string]any
	cpus, ram    float64
	pull         float64 // GB a second
	machines     int     // up at the start of a random day
	factor       int     // size of the arrays of a random day
	oneAddr      bool    // machines have one address for all controllers
	objectives   []any
	resources    map[string]any
	cloudRPS     float64
	level        string
	state        map[string]any
	cutMu        sync.Mutex
	cut          [8]bool // controllers that are cut from the cloud
}

func newWorld(dir string, netByte int) *World {
	w := &World{begin: time.Now(), dir: dir, net: netByte, machines: 6, factor: 1, links: map[[2]int]*Link{}, limits: map[string]float64{}, level: "info"}
	w.end = w.begin.Add(time.Hour)
	f, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	w.record = f
	w.store, w.rules = newStore(w), newRules(w)
	w.cloud, w.users = newCloud(w), newUsers(w)
	w.gangs = &Gangs{w: w, attempts: map[string]map[uint64]*gangAttempt{}}
	w.program = runCommand()
	return w
}

// runCommand returns the program and its arguments from the deploy file.
func runCommand() []string {
	data, err := os.ReadFile("deploy/service.toml")
	for _, line := range strings.Split(string(data), "\n") {
		if text, found := strings.CutPrefix(line, "run = "); found {
			return strings.Fields(strings.Trim(text, `"`))
		}
	}
	fmt.Fprintln(os.Stderr, "deploy/service.toml has no run command", err)
	os.Exit(2)
	return nil
}

func (w *World) addTeam(name string, cpus, cpusMax float64) {
	w.teams = append(w.teams, map[string]any{"name": name, "cpus": cpus, "cpus_max": cpusMax, "gpus": 0.0, "gpus_max": 0.0})
	w.limits[name] = cpusMax
}

// kapana lays out the world like kit/sites/kapana-orders.toml.
func (w *World) kapana() {
	w.zones, w.homes = []string{"walvis-bay", "windhoek-north"}, []string{"windhoek-north", "walvis-bay", "windhoek-north"}
	w.lease, w.reportEvery, w.cancelWithin = 26*time.Second, 3*time.Second, 51*time.Second
	w.addTeam("kitchen-ops", 24, 64)
	w.addTeam("rider-desk", 48, 96)
	w.addTeam("ledger-crew", 40, 72)
	w.objectives = []any{
		map[string]any{"kind": "wait", "class": "order-intake", "within_s": 4.0, "share": 0.88},
		map[string]any{"kind": "deadline", "class": "menu-sync", "share": 0.88, "times": 1.0},
		map[string]any{"kind": "guarantee", "within_s": 10.0, "share": 0.82}}
	w.resources = map[string]any{"cpu_share": 0.096, "mem_mb": 125.0, "max_sockets": 1000}
	w.setLimits(80, 25, 8, 8)
	w.setCloud(5, 4*time.Second, "counter-box", 4, 16, 4, 3*time.Second)
}

// fleet lays out the world like kit/fleet/omaruru-fares-fleet.toml.
func (w *World) fleet() {
	w.zones = []string{"katutura-depot", "okahandja-depot", "rehoboth-depot", "windhoek-depot"}
	w.homes = []string{"windhoek-depot", "katutura-depot", "rehoboth-depot"}
	w.lease, w.reportEvery, w.cancelWithin = 24*time.Second, 5*time.Second, 54*time.Second
	for i := range 10 {
		w.addTeam(fmt.Sprintf("fare-core-%d", i), 500, 1200)
	}
	w.objectives = []any{
		map[string]any{"kind": "wait", "class": "tap-validate", "within_s": 30.0, "share": 0.95},
		map[string]any{"kind": "deadline", "class": "audit-backfill", "share": 0.95, "times": 1.0},
		map[string]any{"kind": "guarantee", "within_s": 20.0, "share": 0.9}}
	w.resources = map[string]any{"cpu_share": 0.36, "mem_mb": 356.0, "max_sockets": 3640}
	w.setLimits(800, 70, 32, 16)
	w.setCloud(6, 5*time.Second, "depot-node", 4, 8, 0.15, 20*time.Second)
}

// omaruru lays out the world like kit/sites/omaruru-fares.toml.
func (w *World) omaruru() {
	w.fleet()
	w.teams = nil
	for i := range 10 {
		w.addTeam(fmt.Sprintf("fare-core-%d", i), 8, 24)
	}
	w.lease, w.reportEvery, w.cancelWithin = 24*time.Second, 3*time.Second, 54*time.Second
	w.objectives[0] = map[string]any{"kind": "wait", "class": "tap-validate", "within_s": 25.0, "share": 0.88}
	w.resources = map[string]any{"cpu_share": 0.12, "mem_mb": 125.0, "max_sockets": 1200}
	w.setLimits(250, 20, 32, 16)
	w.setCloud(3, 5*time.Second, "depot-node", 4, 8, 0.15, 20*time.Second)
}

func (w *World) setLimits(rps, writes, valueKB float64, txnOps int) {
	w.state = map[string]any{"rps": rps, "write_rps": writes, "value_kb": valueKB, "txn_ops": txnOps}
	w.store.valueKB, w.store.txnOps, w.store.rps, w.store.writes = valueKB, txnOps, newBucket(rps), newBucket(writes)
}

func (w *World) setCloud(rps float64, lag time.Duration, build string, cpus, ram, pull float64, boot time.Duration) {
	w.cloudRPS, w.cloud.lag, w.cloud.boot, w.cpus, w.ram, w.pull = rps, lag, boot, cpus, ram, pull
	w.cloud.rps = newBucket(rps)
	w.build = map[string]any{"name": build, "cpus": cpus, "gpus": 0.0, "ram_gb": ram, "local_gb": 70.0, "pull_gb_per_s": pull,
		"hourly": 0.26, "spot_price": 0.07, "startup_s": boot.Seconds(), "depots": w.zones}
}

func (w *World) isCut(node int) bool { w.cutMu.Lock(); defer w.cutMu.Unlock(); return w.cut[node] }

func (w *World) over() bool { return time.Now().After(w.end) }

func (w *World) logf(format string, args ...any) {
	w.recordMu.Lock()
	defer w.recordMu.Unlock()
	fmt.Fprintf(w.record, "%8.3f %s\n", time.Since(w.begin).Seconds(), fmt.Sprintf(format, args...))
}

// fatal ends the test as one that could not run.
func (w *World) fatal(format string, args ...any) {
	w.logf("cannot run: "+format, args...)
	w.stopNodes()
	os.Exit(2)
}

func (w *World) host(last int) string { return fmt.Sprintf("127.%d.0.%d", w.net, last) }

func (w *World) listen(host string) net.Listener {
	l, err := net.Listen("tcp4", host+":0")
	if err != nil {
		w.fatal("no address: %v", err)
	}
	return l
}

// freeAddrs returns addresses whose ports are free.
func (w *World) freeAddrs(host string, count int) (addrs []string) {
	for range count {
		l := w.listen(host)
		defer l.Close()
		addrs = append(addrs, l.Addr().String())
	}
	return addrs
}

// startNodes lays out the addresses and starts the controllers.
func (w *World) startNodes(count int) {
	temp, err := os.MkdirTemp("", "tulipshelf-review-")
	if err != nil {
		w.fatal("%v", err)
	}
	for i := range count {
		addrs := w.freeAddrs(w.host(1+i), 2)
		w.nodes = append(w.nodes, &Node{w: w, index: i, name: fmt.Sprintf("shelf-%d", i), zone: w.homes[i], public: addrs[0], peerAddr: addrs[1]})
	}
	for _, n := range w.nodes {
		state, cloud := w.listen(w.host(20+n.index)), w.listen(w.host(30+n.index))
		go http.Serve(state, w.store.handler(n.index))
		go http.Serve(cloud, w.cloud.handler(n.index))
		var peers []any
		for _, other := range w.nodes {
			if other == n {
				continue
			}
			link := newLink(w.listen(w.host(40+10*n.index+other.index)), other.peerAddr)
			w.links[[2]int{n.index, other.index}] = link
			peers = append(peers, map[string]any{"node_name": other.name, "site": other.zone, "endpoint": link.addr})
		}
		settings := map[string]any{"node_name": n.name, "site": n.zone, "listen": n.public, "peer_listen": n.peerAddr, "peers": peers,
			"endpoints": map[string]any{"cloud": cloud.Addr().String(), "state": state.Addr().String()},
			"params": map[string]any{"initial_size": count, "zones": w.zones,
				"teams": w.teams, "objectives": w.objectives,
				"workers": map[string]any{"report_s": w.reportEvery.Seconds(), "lease_s": w.lease.Seconds(), "gang_wait_s": 45.0, "gang_peer_s": 4.0, "cancel_s": w.cancelWithin.Seconds()},
				"state":   w.state, "cloud": map[string]any{"rps": w.cloudRPS, "list_lag_s": w.cloud.lag.Seconds()},
				"resources": w.resources, "time_bound_ms": 100.0}}
		data, _ := json.MarshalIndent(settings, "", "  ")
		n.settings = filepath.Join(temp, n.name+".json")
		if err := os.WriteFile(n.settings, data, 0o600); err != nil {
			w.fatal("%v", err)
		}
	}
	for _, n := range w.nodes {
		n.start()
	}
}

// start starts the process of the controller.
func (n *Node) start() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.ended || n.running {
		return
	}
	cmd := exec.Command(n.w.program[0], append(append([]string{}, n.w.program[1:]...), n.settings)...)
	cmd.Env = append(os.Environ(), "LOG_LEVEL="+n.w.level)
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	reader, writer := io.Pipe()
	cmd.Stderr = writer
	go func() {
		buf, line := make([]byte, 4096), ""
		for {
			k, err := reader.Read(buf)
			line += string(buf[:k])
			for {
				one, rest, found := strings.Cut(line, "\n")
				if !found {
					break
				}
				n.w.logf("[%s] %s", n.name, one)
				line = rest
			}
			if err != nil {
				return
			}
		}
	}()
	if err := cmd.Start(); err != nil {
		n.w.logf("%s does not start: %v", n.name, err)
		return
	}
	n.cmd, n.killed, n.running = cmd, false, true
	n.w.logf("%s started", n.name)
	go func() {
		err := cmd.Wait()
		writer.Close()
		n.mu.Lock()
		expected := n.killed || n.ended
		n.running = false
		if !expected {
			n.deaths++
		}
		n.mu.Unlock()
		if !expected {
			n.w.rules.report("ended", "%s ended by itself: %v", n.name, err)
			time.AfterFunc(3*time.Second, n.start)
		}
	}()
}

// kill ends the process without a signal that it could handle, and starts it again after a delay; a
// negative delay leaves it ended.
func (n *Node) kill(restart time.Duration) {
	n.mu.Lock()
	n.killed = true
	if n.cmd != nil {
		n.cmd.Process.Kill()
	}
	n.mu.Unlock()
	n.w.logf("TROUBLE %s killed", n.name)
	if restart >= 0 {
		time.AfterFunc(restart, n.start)
	}
}

// freeze stops the process and continues it after a time.
func (n *Node) freeze(d time.Duration) {
	n.mu.Lock()
	cmd := n.cmd
	n.mu.Unlock()
	n.w.logf("TROUBLE %s stands still for %.1f s", n.name, d.Seconds())
	cmd.Process.Signal(syscall.SIGSTOP)
	time.AfterFunc(d, func() {
		cmd.Process.Signal(syscall.SIGCONT)
		n.w.logf("%s continues", n.name)
	})
}

func (w *World) stopNodes() {
	for _, n := range w.nodes {
		n.mu.Lock()
		n.ended = true
		if n.cmd != nil {
			n.cmd.Process.Signal(syscall.SIGCONT)
			n.cmd.Process.Kill()
		}
		n.mu.Unlock()
	}
	if len(w.nodes) > 0 && w.nodes[0].settings != "" {
		os.RemoveAll(filepath.Dir(w.nodes[0].settings))
	}
}

// leaderIndex returns the index of the leader, -1 if there is none.
func (w *World) leaderIndex() int {
	name := w.store.leader()
	for i, n := range w.nodes {
		if n.name == name {
			return i
		}
	}
	return -1
}

// await waits until a condition holds, and reports whether it did in time.
func await(limit time.Duration, condition func() bool) bool {
	for begin := time.Now(); time.Since(begin) < limit; time.Sleep(20 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return false
}

// Link carries connections from one controller to the peer address of another.
type Link struct {
	addr   string
	target string
	mu     sync.Mutex
	mode   string // "", "refuse" (connections are reset) or "hold" (nothing passes)
	conns  map[net.Conn]bool
}

func newLink(l net.Listener, target string) *Link {
	link := &Link{addr: l.Addr().String(), target: target, conns: map[net.Conn]bool{}}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go link.carry(conn)
		}
	}()
	return link
}

func (l *Link) set(mode string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.mode = mode
	if mode == "refuse" {
		for c := range l.conns {
			c.Close()
		}
	}
}

func (l *Link) passes() bool {
	for {
		l.mu.Lock()
		mode := l.mode
		l.mu.Unlock()
		if mode != "hold" {
			return mode == ""
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func (l *Link) carry(in net.Conn) {
	defer in.Close()
	if !l.passes() {
		return
	}
	out, err := net.DialTimeout("tcp4", l.target, time.Second)
	if err != nil {
		return
	}
	defer out.Close()
	l.mu.Lock()
	l.conns[in], l.conns[out] = true, true
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		delete(l.conns, in)
		delete(l.conns, out)
		l.mu.Unlock()
	}()
	copyHeld := func(dst, src net.Conn) {
		buf := make([]byte, 32<<10)
		for {
			k, err := src.Read(buf)
			if k > 0 {
				if !l.passes() {
					break
				}
				if _, werr := dst.Write(buf[:k]); werr != nil {
					break
				}
			}
			if err != nil {
				break
			}
		}
		dst.Close()
		src.Close()
	}
	go copyHeld(out, in)
	copyHeld(in, out)
}

func readBody(r *http.Request) []byte {
	data, _ := io.ReadAll(r.Body)
	return data
}

func reply(rw http.ResponseWriter, status int, body any) {
	if body == nil {
		body = map[string]any{}
	}
	data, _ := cbor.Marshal(body)
	replyRaw(rw, status, data)
}

func replyRaw(rw http.ResponseWriter, status int, data []byte) {
	rw.Header().Set("Content-Type", "application/cbor")
	rw.Header().Set("Content-Length", fmt.Sprint(len(data)))
	rw.WriteHeader(status)
	rw.Write(data)
}

// hold leaves a request without an answer: the connection is closed when the client gives up or after limit.
func hold(r *http.Request, limit time.Duration) {
	select {
	case <-r.Context().Done():
	case <-time.After(limit):
	}
	panic(http.ErrAbortHandler)
}

func (w *World) buildName() string { return w.build["name"].(string) }
