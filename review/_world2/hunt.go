package main

import (
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"
)

func init() { scenarios["hunt"] = hunt }

// hunt plays random troubles against random load.
func hunt(trouble bool) int {
	seed, _ := strconv.ParseInt(os.Getenv("SEED"), 10, 64)
	s := kapana()
	s.mt.startupS = 4
	if seed%2 == 1 {
		s = omaruru()
		s.machines = map[string]int{"windhoek-depot": 2, "katutura-depot": 2, "rehoboth-depot": 1, "okahandja-depot": 2}
		s.mt.startupS = 3
	}
	w := newWorld(s, seed)
	w.startAll(s)
	duration := 95 * time.Second
	if d := os.Getenv("DURATION"); d != "" {
		n, _ := strconv.Atoi(d)
		duration = time.Duration(n) * time.Second
	}
	end := time.Now().Add(duration)
	var wg sync.WaitGroup
	var mu sync.Mutex
	var jobs []*jobInfo
	for range 3 {
		wg.Go(func() {
			for time.Now().Before(end) {
				t := s.teams[w.rand(min(3, len(s.teams)))].name
				var j *jobInfo
				switch w.rand(3) {
				case 0:
					j = w.newJob("service", "order-intake", t, 1+w.rand(2), 1+float64(w.rand(2)), 1.1, 0)
				default:
					j = w.newJob("array", "menu-sync", t, 1+w.rand(12), 1, 1.2, 1+float64(w.rand(12)))
				}
				if w.rand(5) == 0 {
					j.oneZone = true
					j.body["same_place"] = true
				} else if w.rand(5) == 0 {
					j.apart = true
					j.body["apart"] = true
				}
				if w.submitUntil(j, time.Minute) {
					mu.Lock()
					jobs = append(jobs, j)
					mu.Unlock()
					// look closely at all nodes
					for _, n := range w.nodes {
						go w.poll(n, j.id)
					}
				}
				time.Sleep(time.Duration(500+w.rand(1500)) * time.Millisecond)
			}
		})
	}
	pick := func() *jobInfo {
		mu.Lock()
		defer mu.Unlock()
		if len(jobs) == 0 {
			return nil
		}
		return jobs[max(0, len(jobs)-1-w.rand(40))]
	}
	wg.Go(func() { // cancellations
		for time.Now().Before(end) {
			if j := pick(); j != nil && j.cancelAsked.IsZero() {
				go func() {
					w.cancelUntil(j, time.Minute)
					for _, n := range w.nodes {
						go w.poll(n, j.id)
					}
				}()
			}
			time.Sleep(time.Duration(300+w.rand(2500)) * time.Millisecond)
		}
	})
	wg.Go(func() { // polls and repeated submissions
		for time.Now().Before(end.Add(10 * time.Second)) {
			if j := pick(); j != nil {
				n := w.nodes[w.rand(3)]
				if w.rand(6) == 0 {
					go w.submit(n, j)
				} else {
					go w.poll(n, j.id)
				}
			}
			time.Sleep(60 * time.Millisecond)
		}
	})
	if trouble {
		wg.Go(func() {
			for time.Now().Before(end.Add(-10 * time.Second)) {
				time.Sleep(time.Duration(1000+w.rand(7000)) * time.Millisecond)
				w.trouble(s)
			}
		})
	}
	wg.Wait()
	time.Sleep(3 * time.Second)
	bad := 0
	for _, j := range jobs {
		if status, _ := w.poll(w.nodes[0], j.id); status != 200 {
			bad++
		}
	}
	logf("jobs %d, unanswered %d, starts %d, refused %v, ends %d, broken %d", len(jobs), bad, w.check.starts, w.store.refused, w.store.count("end/"), len(w.check.broken))
	if len(w.check.broken) > 0 || len(w.unexpected) > 0 {
		return 1
	}
	return 0
}

// trouble begins one random trouble, which ends by itself.
func (w *world) trouble(s site) {
	n := w.nodes[w.rand(3)]
	if l := w.leader(); l != nil && w.rand(3) > 0 {
		n = l
	}
	d := time.Duration(2+w.rand(30)) * time.Second
	switch k := w.rand(13); k {
	case 0:
		logf("trouble: %s crashes", n.name)
		n.kill()
		delay := 3 * time.Second
		if w.rand(2) == 0 {
			delay = time.Duration(w.rand(800)) * time.Millisecond
		}
		time.AfterFunc(delay, n.start)
	case 1:
		logf("trouble: all crash")
		for _, n := range w.nodes {
			n.kill()
			time.AfterFunc(time.Duration(200+w.rand(3000))*time.Millisecond, n.start)
		}
	case 2:
		d = min(d, 20*time.Second)
		logf("trouble: %s stands still for %v", n.name, d)
		n.mu.Lock()
		p := n.cmd.Process
		n.mu.Unlock()
		p.Signal(syscall.SIGSTOP)
		time.AfterFunc(d, func() { p.Signal(syscall.SIGCONT); logf("%s goes on", n.name) })
	case 3:
		d = min(d, 25*time.Second)
		logf("trouble: store down for %v", d)
		w.store.setDown(true)
		time.AfterFunc(d, func() { w.store.setDown(false) })
	case 4:
		logf("trouble: store refuses %s for %v", n.name, d)
		w.store.fault(n.name, func(f *nodeFault) { f.refuse = true })
		time.AfterFunc(d, func() { w.store.fault(n.name, func(f *nodeFault) { f.refuse = false }) })
	case 5:
		logf("trouble: %s cut from store and peers for %v", n.name, d)
		w.store.fault(n.name, func(f *nodeFault) { f.hang = true })
		w.cutPeers(n, "hang")
		time.AfterFunc(d, func() {
			w.store.fault(n.name, func(f *nodeFault) { f.hang = false })
			w.cutPeers(n, "")
		})
	case 6:
		logf("trouble: peers refuse for %v", d)
		for _, o := range w.nodes {
			w.cutPeers(o, "refuse")
		}
		time.AfterFunc(d, func() {
			for _, o := range w.nodes {
				w.cutPeers(o, "")
			}
		})
	case 7:
		logf("trouble: late transactions for %v", d)
		for _, o := range w.nodes {
			w.store.fault(o.name, func(f *nodeFault) {
				f.hold = func(op string) bool { return len(op) > 8 && op[:8] == "POST /tx" && w.rand(5) == 0 }
				f.lose = func(op string) bool { return len(op) > 8 && op[:8] == "POST /tx" && w.rand(8) == 0 }
			})
		}
		for i := range 10 {
			time.AfterFunc(time.Duration(i+1)*d/8, w.store.releaseHeld)
		}
		time.AfterFunc(d, func() {
			for _, o := range w.nodes {
				w.store.fault(o.name, func(f *nodeFault) { f.hold, f.lose = nil, nil })
			}
		})
	case 8, 9, 10:
		all := w.cloud.list()
		if len(all) == 0 {
			return
		}
		for range 1 + w.rand(3) {
			m := all[w.rand(len(all))]
			switch w.rand(5) {
			case 0:
				logf("trouble: %s hangs for %v", m.name, d)
				m.set(func(m *worker) { m.hung = true })
				time.AfterFunc(d, func() { m.set(func(m *worker) { m.hung = false }) })
			case 1:
				logf("trouble: %s deaf for %v", m.name, d)
				m.set(func(m *worker) { m.deaf = true })
				time.AfterFunc(d, func() { m.set(func(m *worker) { m.deaf = false }) })
			case 2:
				logf("trouble: %s cut off for %v", m.name, d)
				m.set(func(m *worker) { m.cut["*"] = true })
				time.AfterFunc(d, func() { m.set(func(m *worker) { m.cut["*"] = false }) })
			case 3:
				logf("trouble: commands to %s held for %v", m.name, d)
				m.set(func(m *worker) { m.holdCmds = true })
				time.AfterFunc(d, func() {
					m.set(func(m *worker) {
						m.holdCmds = false
						for _, f := range m.held {
							f()
						}
						m.held = nil
					})
				})
			case 4:
				logf("trouble: %s dies", m.name)
				m.kill("dies")
			}
		}
	case 11:
		logf("trouble: zone partition around %s for %v", n.name, d)
		w.cutPeers(n, "hang")
		for _, m := range w.cloud.list() {
			for _, o := range w.nodes {
				if (m.zone == n.zone) != (o.zone == n.zone) {
					m.set(func(m *worker) { m.cut[o.name] = true })
				}
			}
		}
		time.AfterFunc(d, func() {
			w.cutPeers(n, "")
			for _, m := range w.cloud.list() {
				m.set(func(m *worker) { m.cut = map[string]bool{} })
			}
		})
	case 12:
		logf("trouble: cloud down for %v", d)
		w.cloud.setDown(true)
		time.AfterFunc(d, func() { w.cloud.setDown(false) })
	}
}

func (w *world) cutPeers(n *node, mode string) {
	for _, o := range w.nodes {
		if o != n {
			n.links[o.name].set(mode)
			o.links[n.name].set(mode)
		}
	}
}
