package main

// The stand-in of a worker and its machine, by PROTOCOL-tulipshelf.md "Workers -> controller nodes".

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
)

type attemptID struct {
	ticket string
	try    uint64
}

type machineTask struct {
	status, cause string
	started       bool // it has its image: it is on the machine for the rules
	timer         *time.Timer
	member        *gangMember
}

type order struct {
	Verb     string   `cbor:"verb"`
	Ticket   string   `cbor:"ticket"`
	Try      uint64   `cbor:"try"`
	WindDown *float64 `cbor:"wind_down_s"`
}

type Machine struct {
	w         *World
	Name      string
	Zone      string
	Spot      bool
	rentedAt  time.Time
	ctx       context.Context
	cancel    context.CancelFunc
	client    *http.Client
	listeners []net.Listener // one for each controller, to tell them apart
	addrs     []string
	wakeup    chan struct{}

	mu      sync.Mutex
	up      bool
	shift   uint64
	tick    uint64
	baton   uint64
	renewed time.Time
	tasks   map[attemptID]*machineTask
	images  map[string]bool
	hung    bool
	deaf    bool // answers and direct commands are lost
	mute    bool // reaches no controller
	late    float64
	unhang  chan struct{}
	dead    bool
	failed  bool
	recall  time.Time // the cloud takes the machine away; zero: no notice
	sick    bool      // fails every task that it starts
	lateRep float64
	cut     []string // by controller: "", "reset" or "hold"
}

func newMachine(w *World, name string, number int, zone string, spot bool) *Machine {
	m := &Machine{w: w, Name: name, Zone: zone, Spot: spot, shift: 1, tasks: map[attemptID]*machineTask{}, images: map[string]bool{},
		wakeup: make(chan struct{}, 1), unhang: make(chan struct{})}
	m.ctx, m.cancel = context.WithCancel(context.Background())
	for node := range w.nodes {
		if node > 0 && w.oneAddr {
			m.addrs = append(m.addrs, m.addrs[0])
			continue
		}
		l, err := net.Listen("tcp4", fmt.Sprintf("127.%d.%d.%d:0", w.net, 100+number/250, number%250+1))
		if err != nil {
			w.fatal("machine cannot listen: %v", err)
		}
		m.listeners, m.addrs = append(m.listeners, l), append(m.addrs, l.Addr().String())
	}
	m.cut = make([]string, len(w.nodes))
	m.client = &http.Client{Transport: &http.Transport{DialContext: (&net.Dialer{Timeout: 4 * time.Second}).DialContext, MaxIdleConnsPerHost: 1}}
	return m
}

func (m *Machine) cloudStatus() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case m.failed:
		return "failed"
	case m.up:
		return "running"
	}
	return "starting"
}

func (m *Machine) describe() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var list []string
	for id, t := range m.tasks {
		list = append(list, fmt.Sprintf("%s try %d %s%s", id.ticket, id.try, t.status, t.cause))
	}
	sort.Strings(list)
	return fmt.Sprintf("tasks %v (hung %t)", list, m.hung)
}

func (m *Machine) run(boot time.Duration) {
	select {
	case <-time.After(boot):
	case <-m.ctx.Done():
		return
	}
	m.mu.Lock()
	m.up, m.renewed = true, time.Now()
	m.mu.Unlock()
	for node, l := range m.listeners {
		server := &http.Server{Handler: http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) { m.serve(node, rw, r) })}
		go server.Serve(l)
		defer server.Close()
	}
	go m.watchLease()
	at := rand.IntN(len(m.w.nodes))
	for m.ctx.Err() == nil {
		at = m.report(at)
	}
}

func (m *Machine) terminate() {
	m.cancel()
	for _, l := range m.listeners {
		l.Close()
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.dead = true
	m.killTasks("machine gone")
}

func (m *Machine) killTasks(why string) {
	for id, t := range m.tasks {
		if t.timer != nil {
			t.timer.Stop()
		}
		if t.started && t.status != "exited" {
			if t.member != nil {
				m.w.gangs.gone(t.member)
			}
			m.w.rules.gone(id.ticket, m.Name, false, why)
		}
	}
	m.tasks = map[attemptID]*machineTask{}
}

func (m *Machine) watchLease() {
	for m.ctx.Err() == nil {
		time.Sleep(50 * time.Millisecond)
		m.mu.Lock()
		m.checkLease()
		m.mu.Unlock()
	}
}

// checkLease begins the next session if the lease has expired. The caller holds mu.
func (m *Machine) checkLease() {
	if !m.hung && !m.dead && time.Since(m.renewed) > m.w.lease {
		m.w.logf("%s: lease expired, %d tasks killed", m.Name, len(m.tasks))
		m.killTasks("lease expired")
		m.shift++
		m.renewed = time.Now()
		m.signal()
	}
}

func (m *Machine) signal() {
	select {
	case m.wakeup <- struct{}{}:
	default:
	}
}

func (m *Machine) setHung(hung bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.hung == hung {
		return
	}
	m.hung = hung
	if !hung {
		close(m.unhang)
		m.unhang = make(chan struct{})
	}
}

// awaitUnhung blocks while the machine hangs.
func (m *Machine) awaitUnhung(ctx context.Context) bool {
	for {
		m.mu.Lock()
		hung, ch, dead := m.hung, m.unhang, m.dead
		m.mu.Unlock()
		if dead {
			return false
		}
		if !hung {
			return true
		}
		select {
		case <-ch:
		case <-ctx.Done():
			return false
		}
	}
}

// body returns the report. The caller holds mu.
func (m *Machine) body(node int) []byte {
	m.tick++
	tickets := []any{}
	for id, t := range m.tasks {
		entry := map[string]any{"ticket": id.ticket, "try": id.try, "status": t.status}
		if t.status == "exited" {
			entry["cause"] = t.cause
		}
		tickets = append(tickets, entry)
	}
	var recall any
	if !m.recall.IsZero() {
		recall = time.Until(m.recall).Seconds()
	}
	data, _ := cbor.Marshal(map[string]any{"shelf": m.Name, "endpoint": m.addrs[node], "build": m.w.buildName(), "depot": m.Zone, "loaners": m.Spot,
		"shift": m.shift, "tick": m.tick, "baton": m.baton, "recall_s": recall, "tickets": tickets})
	return data
}

func (m *Machine) report(at int) int {
	if !m.awaitUnhung(m.ctx) {
		return at
	}
	m.mu.Lock()
	m.checkLease()
	body, shift, sent := m.body(at), m.shift, time.Now()
	mute, deaf, lateRep, cut := m.mute, m.deaf, m.lateRep, m.cut[at]
	m.mu.Unlock()
	status, answer := 0, []byte(nil)
	if cut != "" {
		if cut == "hold" {
			go m.postHeld(at, body)
			m.sleep(4 * time.Second)
		}
	} else if !mute {
		if lateRep > 0 && rand.Float64() < lateRep {
			copied := append([]byte(nil), body...)
			time.AfterFunc(time.Duration(2+rand.IntN(40))*time.Second, func() { m.post(m.w.nodes[rand.IntN(len(m.w.nodes))].public, copied, 4*time.Second) })
		}
		status, answer = m.post(m.w.nodes[at].public, body, 4*time.Second)
		if deaf {
			m.sleep(4*time.Second - time.Since(sent))
			status = 0
		}
	}
	if !m.awaitUnhung(m.ctx) {
		return at
	}
	if time.Since(sent) > 4*time.Second {
		status = 0
	}
	switch status {
	case 200:
		m.accept(answer, shift, sent)
		m.sleep(500*time.Millisecond - time.Since(sent))
		wait := time.NewTimer(time.Duration(float64(m.w.reportEvery)*(0.75+0.5*rand.Float64())) - time.Since(sent))
		defer wait.Stop()
		select {
		case <-m.wakeup:
		case <-wait.C:
		case <-m.ctx.Done():
		}
		return at
	case 421:
		var to struct {
			Foreman string `cbor:"foreman"`
		}
		cbor.Unmarshal(answer, &to)
		for i, n := range m.w.nodes {
			if n.name == to.Foreman && i != at {
				m.sleep(time.Duration(rand.IntN(500)) * time.Millisecond)
				return i
			}
		}
	}
	m.sleep(time.Second)
	return (at + 1) % len(m.w.nodes)
}

// postHeld sends a report once the cut has ended; its answer is dropped.
func (m *Machine) postHeld(node int, body []byte) {
	if m.awaitCut(node) {
		m.post(m.w.nodes[node].public, body, 4*time.Second)
	}
}

// awaitCut waits until packets pass between the machine and a controller.
func (m *Machine) awaitCut(node int) bool {
	for m.ctx.Err() == nil {
		m.mu.Lock()
		cut := m.cut[node]
		m.mu.Unlock()
		if cut == "" {
			return true
		}
		time.Sleep(20 * time.Millisecond)
	}
	return false
}

func (m *Machine) sleep(d time.Duration) {
	if d <= 0 {
		return
	}
	select {
	case <-time.After(d):
	case <-m.ctx.Done():
	}
}

func (m *Machine) post(addr string, body []byte, timeout time.Duration) (int, []byte) {
	ctx, cancel := context.WithTimeout(m.ctx, timeout)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, "POST", "http://"+addr+"/v1/report", bytes.NewReader(body))
	resp, err := m.client.Do(req)
	if err != nil {
		m.client.CloseIdleConnections()
		return 0, nil
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, data
}

func (m *Machine) accept(answer []byte, shift uint64, sent time.Time) {
	var resp struct {
		Baton  uint64  `cbor:"baton"`
		Orders []order `cbor:"orders"`
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.checkLease()
	if cbor.Unmarshal(answer, &resp) != nil || resp.Baton < m.baton || resp.Baton == 0 || shift != m.shift || m.dead {
		return
	}
	if resp.Baton > m.baton {
		m.baton = resp.Baton
		m.signal()
	}
	m.renewed = sent
	m.execute(resp.Orders, "answer")
}

func (m *Machine) serve(node int, rw http.ResponseWriter, r *http.Request) {
	body := readBody(r)
	m.mu.Lock()
	deaf, late, cut := m.deaf, m.late, m.cut[node]
	m.mu.Unlock()
	if deaf || cut == "reset" {
		hold(r, 30*time.Second)
		return
	}
	if !m.awaitCut(node) {
		return
	}
	background := context.Background() // a command is executed also if its sender has given up
	if !m.awaitUnhung(background) {
		return
	}
	if r.URL.Path == "/commands" && late > 0 && rand.Float64() < late {
		time.Sleep(time.Duration(2000+rand.IntN(14000)) * time.Millisecond)
		if !m.awaitUnhung(background) {
			return
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.dead {
		return
	}
	m.checkLease()
	if r.URL.Path == "/status" {
		replyRaw(rw, 200, m.body(node))
		return
	}
	var req struct {
		Baton  *uint64 `cbor:"baton"`
		Shift  *uint64 `cbor:"shift"`
		Orders []order `cbor:"orders"`
	}
	if r.URL.Path != "/commands" || cbor.Unmarshal(body, &req) != nil || req.Baton == nil || req.Shift == nil {
		reply(rw, 400, nil)
		return
	}
	if *req.Baton < m.baton || *req.Shift != m.shift {
		replyRaw(rw, 409, m.body(node))
		return
	}
	if *req.Baton > m.baton {
		m.baton = *req.Baton
		m.signal()
	}
	m.execute(req.Orders, "command")
	replyRaw(rw, 200, m.body(node))
}

// execute executes orders. The caller holds mu.
func (m *Machine) execute(orders []order, how string) {
	for _, o := range orders {
		id := attemptID{o.Ticket, o.Try}
		t := m.tasks[id]
		switch o.Verb {
		case "run":
			if t == nil {
				m.tasks[id] = m.start(id, how)
				m.signal()
			}
		case "halt":
			if t != nil && t.status != "exited" {
				if t.member != nil {
					m.w.gangs.gone(t.member)
				}
				m.exit(id, t, "stopped")
			}
		case "forget":
			if t != nil && t.status == "exited" {
				delete(m.tasks, id)
			}
		}
	}
}

func (m *Machine) start(id attemptID, how string) *machineTask {
	jobID, _, _ := strings.Cut(id.ticket, "/")
	spec := m.w.users.spec(jobID)
	if spec == nil {
		return &machineTask{status: "exited", cause: "unknown"}
	}
	cpus := 0.0
	for other, t := range m.tasks {
		if t.status == "exited" {
			continue
		}
		if other.ticket == id.ticket {
			return &machineTask{status: "exited", cause: "in_use"}
		}
		otherJob, _, _ := strings.Cut(other.ticket, "/")
		cpus += m.w.users.spec(otherJob).CPUs
	}
	if cpus+spec.CPUs > m.w.cpus+1e-6 {
		return &machineTask{status: "exited", cause: "no_room"}
	}
	t := &machineTask{status: "pulling"}
	fetch := time.Duration(spec.ImageGB / m.w.pull * float64(time.Second))
	if m.images[spec.Bundle] {
		fetch = 0
	}
	m.w.logf("%s: %s try %d accepted by %s, token %d", m.Name, id.ticket, id.try, how, m.baton)
	if fetch == 0 {
		m.begin(id, t, spec)
		return t
	}
	t.timer = time.AfterFunc(fetch, func() { m.whenAwake(id, t, func() { m.images[spec.Bundle] = true; m.begin(id, t, spec) }) })
	return t
}

// whenAwake runs f with mu held once the machine does not hang, if the task is still there.
func (m *Machine) whenAwake(id attemptID, t *machineTask, f func()) {
	if !m.awaitUnhung(context.Background()) {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.hung {
		time.AfterFunc(100*time.Millisecond, func() { m.whenAwake(id, t, f) })
		return
	}
	if !m.dead && m.tasks[id] == t && t.status != "exited" && time.Since(m.renewed) <= m.w.lease {
		f()
	}
}

func (m *Machine) begin(id attemptID, t *machineTask, spec *Job) {
	t.status, t.started = "running", true
	m.w.rules.started(id, m, spec)
	m.signal()
	if spec.Shape == "ensemble" {
		t.status = "waiting"
		m.w.gangs.join(spec, m, id, t)
		return
	}
	if m.w.rules.isDone(id.ticket) {
		m.exit(id, t, "done")
		return
	}
	if m.sick {
		t.timer = time.AfterFunc(300*time.Millisecond, func() { m.whenAwake(id, t, func() { m.exit(id, t, "error") }) })
		return
	}
	if spec.Shape == "service" {
		return
	}
	run := time.Duration(spec.runS * (0.9 + 0.2*rand.Float64()) * float64(time.Second))
	t.timer = time.AfterFunc(run, func() { m.whenAwake(id, t, func() { m.exit(id, t, "done") }) })
}

func (m *Machine) exit(id attemptID, t *machineTask, cause string) {
	if t.timer != nil {
		t.timer.Stop()
	}
	t.status, t.cause = "exited", cause
	if t.started {
		m.w.rules.gone(id.ticket, m.Name, cause == "done", cause)
	}
	m.signal()
}

func (m *Machine) holds(jobID string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for id, t := range m.tasks {
		if strings.HasPrefix(id.ticket, jobID+"/") && t.status != "exited" {
			return true
		}
	}
	return false
}

// jobOf returns the job of a task.
func jobOf(ticket string) string {
	id, _, _ := strings.Cut(ticket, "/")
	return id
}
