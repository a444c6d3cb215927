package main

// Random days in real time, to find broken rules.

import (
	"math/rand/v2"
	"strings"
	"time"
)

func (w *World) seedMachines() {
	w.cloud.mu.Lock()
	for i := range w.machines {
		w.cloud.addMachine(w.zones[i%len(w.zones)], false, 0, 5*time.Minute)
	}
	w.cloud.mu.Unlock()
}

func hunt(w *World, seconds, quietFor int) {
	w.startNodes(3)
	w.seedMachines()
	if !await(20*time.Second, func() bool { return w.leaderIndex() >= 0 }) {
		w.fatal("no leader")
	}
	time.Sleep(4 * time.Second)
	w.end = time.Now().Add(time.Duration(seconds) * time.Second)
	quiet := w.end.Add(-time.Duration(quietFor) * time.Second) // no troubles begin after this
	go w.load(quiet)
	go w.troubles(quiet)
	time.Sleep(time.Until(w.end))
	w.users.mu.Lock()
	var jobs []*Job
	for _, j := range w.users.jobs {
		jobs = append(jobs, j)
	}
	w.users.mu.Unlock()
	for _, j := range jobs {
		j.mu.Lock()
		running, done := w.rules.onMachines(j.UID), w.rules.doneTasks(j.UID)
		if room := w.machinesWithRoom(j); j.accepted && !j.aborting && j.final == "" && running+done < j.Tickets && room > 0 {
			w.rules.report("waiting", "%s %s with %d of %d tasks on machines and %d done, same place %t, apart %t; %d machines have room",
				j.UID, j.Shape, running, j.Tickets, done, j.SamePlace, j.Apart, room)
		}
		if j.accepted && time.Since(j.lastOK) > 75*time.Second {
			w.rules.report("forgotten", "no question about %s was answered for %.0f s", j.UID, time.Since(j.lastOK).Seconds())
		}
		j.mu.Unlock()
	}
}

// load submits jobs of all kinds.
func (w *World) load(until time.Time) {
	for i := 0; time.Now().Before(until); i++ {
		j := w.users.add(func(j *Job) {
			j.Crew = w.teams[rand.IntN(len(w.teams))]["name"].(string)
			j.Bundle = "img-0" + string(rune('1'+rand.IntN(4)))
			switch rand.IntN(6) {
			case 5:
				j.Shape, j.Lane, j.Rank, j.Tickets, j.runS, j.SamePlace = "ensemble", "rush", "high", 2+rand.IntN(3), 6, rand.IntN(2) == 0
			case 0:
				j.Shape, j.Lane, j.Rank, j.CPUs, j.ExpectS, j.runS = "service", "order-intake", "high", 2, 0, 0
				j.Tickets = 1 + rand.IntN(2)
			case 1:
				j.Tickets, j.runS, j.ExpectS, j.SamePlace = 1+rand.IntN(4*w.factor), 4, 5, true
			case 2:
				j.Tickets, j.runS, j.ExpectS, j.Apart = 1+rand.IntN(4*w.factor), 8, 6, true
			default:
				j.Tickets, j.runS, j.ExpectS, j.Loaners = 1+rand.IntN(6*w.factor), float64(1+rand.IntN(20)), 8, true
			}
			if rand.IntN(6) == 0 {
				z := w.zones[rand.IntN(len(w.zones))]
				j.Depot = &z
				j.Apart = false
			}
		})
		cancel := time.Duration(0)
		if j.Shape == "service" && rand.IntN(5) > 0 || rand.IntN(4) == 0 {
			cancel = time.Duration(50+rand.IntN(15000)) * time.Millisecond
		}
		go w.users.follow(j, cancel)
		time.Sleep(time.Duration(200+rand.IntN(1600)) * time.Millisecond)
	}
}

func (w *World) pickNode() *Node {
	if i := w.leaderIndex(); i >= 0 && rand.IntN(3) > 0 {
		return w.nodes[i]
	}
	return w.nodes[rand.IntN(len(w.nodes))]
}

func (w *World) cancelNow(hang time.Duration) {
	n := 0
	for _, m := range w.cloud.all() {
		m.mu.Lock()
		var ids []string
		for id, t := range m.tasks {
			if t.status == "running" {
				job, _, _ := strings.Cut(id.ticket, "/")
				ids = append(ids, job)
			}
		}
		m.mu.Unlock()
		for _, id := range ids {
			j := w.users.spec(id)
			if j == nil || n >= 6 {
				continue
			}
			n++
			if hang > 0 {
				m.setHung(true)
				time.AfterFunc(hang, func() { m.setHung(false) })
			}
			go w.users.abort(j, time.Minute)
		}
	}
	w.logf("TROUBLE cancel_now: %d jobs, hang %.0f s", n, hang.Seconds())
}

func (w *World) troubles(until time.Time) {
	for time.Now().Before(until) {
		d := func(lo, hi int) time.Duration {
			return time.Duration(lo*1000+rand.IntN((hi-lo)*1000+1)) * time.Millisecond
		}
		switch rand.IntN(28) {
		case 0, 1:
			w.pickNode().kill([]time.Duration{200 * time.Millisecond, 3 * time.Second}[rand.IntN(2)])
		case 2:
			for _, n := range w.nodes {
				n.kill([]time.Duration{200 * time.Millisecond, 3 * time.Second}[rand.IntN(2)])
			}
		case 3, 4:
			w.pickNode().freeze(d(1, 35))
		case 5:
			down := d(3, 25)
			w.logf("TROUBLE state service down for %.1f s", down.Seconds())
			w.store.setDown(true)
			time.AfterFunc(down, func() { w.store.setDown(false); w.logf("state service is back") })
		case 6, 7:
			n, for_ := w.pickNode(), d(5, 35)
			silent := rand.IntN(2) == 0
			peers := rand.IntN(2) == 0
			w.logf("TROUBLE %s cut from the state service (silent %t, peers %t) for %.1f s", n.name, silent, peers, for_.Seconds())
			w.store.set(func() { w.store.node[n.index] = nodeFaults{refused: !silent, silent: silent} })
			if peers {
				w.cutPeers(n.index, "hold")
			}
			time.AfterFunc(for_, func() {
				w.store.set(func() { w.store.node[n.index] = nodeFaults{} })
				w.cutPeers(n.index, "")
				w.logf("%s is served again", n.name)
			})
		case 8:
			for_ := d(10, 25)
			w.logf("TROUBLE connections between controllers are refused for %.1f s", for_.Seconds())
			for _, l := range w.links {
				l.set("refuse")
			}
			time.AfterFunc(for_, func() {
				for _, l := range w.links {
					l.set("")
				}
			})
		case 9:
			w.cancelNow(d(5, 35))
		case 10:
			w.cancelNow(0)
		case 11:
			for_, share := d(10, 25), 0.3
			lost := rand.IntN(2) == 0
			w.logf("TROUBLE transactions without an answer (at once %t) for %.1f s", lost, for_.Seconds())
			w.store.set(func() {
				if lost {
					w.store.lostShare = share
				} else {
					w.store.lateShare = share
				}
			})
			time.AfterFunc(for_, func() { w.store.set(func() { w.store.lostShare, w.store.lateShare = 0, 0 }) })
		case 12:
			for_ := d(10, 30)
			w.logf("TROUBLE state service slow for %.1f s", for_.Seconds())
			w.store.set(func() { w.store.delay = time.Duration(rand.IntN(500)) * time.Millisecond })
			time.AfterFunc(for_, func() { w.store.set(func() { w.store.delay = 0 }) })
		case 13:
			w.machineTrouble("mute, deaf", d(10, 30), func(m *Machine, on bool) {
				if m.Name[len(m.Name)-1]%2 == 0 {
					m.mute = on
				} else {
					m.deaf = on
				}
			})
		case 14:
			w.machineTrouble("late commands and reports", d(20, 30), func(m *Machine, on bool) {
				m.late, m.lateRep = 0, 0
				if on {
					m.late, m.lateRep = 0.5, 0.3
				}
			})
		case 24, 25, 26:
			for_, n := d(5, 30), 1+rand.IntN(6)
			for _, m := range w.cloud.all() {
				if n > 0 && rand.IntN(2) == 0 {
					n--
					w.logf("TROUBLE %s fails every task that it starts", m.Name)
					m.mu.Lock()
					m.sick = true
					m.mu.Unlock()
					time.AfterFunc(for_, func() { m.mu.Lock(); m.sick = false; m.mu.Unlock() })
				}
			}
		case 27:
			for _, m := range w.cloud.all() {
				if m.Spot && rand.IntN(2) == 0 {
					left := time.Duration(4+rand.IntN(30)) * time.Second
					w.logf("TROUBLE %s is taken back in %.0f s", m.Name, left.Seconds())
					m.mu.Lock()
					m.recall = time.Now().Add(left)
					m.mu.Unlock()
					m.signal()
					time.AfterFunc(left, func() { w.cloud.set(func(c *Cloud) { m.terminate(); delete(c.machines, m.Name) }) })
				}
			}
		case 20:
			for_ := d(5, 25)
			w.logf("TROUBLE cloud out for %.1f s", for_.Seconds())
			w.cloud.set(func(c *Cloud) { c.down = true })
			time.AfterFunc(for_, func() { w.cloud.set(func(c *Cloud) { c.down = false }) })
		case 21:
			for_ := d(10, 30)
			w.logf("TROUBLE the cloud's answers are lost for %.1f s", for_.Seconds())
			w.cloud.set(func(c *Cloud) { c.lost = 0.5 })
			time.AfterFunc(for_, func() { w.cloud.set(func(c *Cloud) { c.lost = 0 }) })
		case 22, 23:
			n := 0
			for _, m := range w.cloud.all() {
				if rand.IntN(3) == 0 {
					n++
					time.AfterFunc(time.Duration(rand.IntN(10000))*time.Millisecond, func() { w.cloud.die(m) })
				}
			}
			w.logf("TROUBLE %d machines stop with all that is on them", n)
		case 16, 17, 18, 19:
			zone := w.zones[rand.IntN(len(w.zones))]
			all, mode, for_ := rand.IntN(2) == 0, []string{"reset", "hold"}[rand.IntN(2)], d(15, 50)
			w.logf("TROUBLE zone %s cut off (from everything %t, %s) for %.1f s", zone, all, mode, for_.Seconds())
			w.cutZone(zone, all, mode)
			time.AfterFunc(for_, func() { w.cutZone(zone, all, ""); w.logf("zone %s is back", zone) })
		case 15:
			for_ := d(10, 35)
			all := w.cloud.all()
			if len(all) == 0 {
				continue
			}
			m := all[rand.IntN(len(all))]
			w.logf("TROUBLE %s hangs for %.1f s", m.Name, for_.Seconds())
			m.setHung(true)
			time.AfterFunc(for_, func() { m.setHung(false) })
		}
		time.Sleep(time.Duration(500+rand.IntN(9000)) * time.Millisecond)
	}
}

func (w *World) cutPeers(node int, mode string) {
	for ends, l := range w.links {
		if ends[0] == node || ends[1] == node {
			l.set(mode)
		}
	}
}

func (w *World) machineTrouble(what string, for_ time.Duration, set func(m *Machine, on bool)) {
	w.logf("TROUBLE machines: %s for %.1f s", what, for_.Seconds())
	var chosen []*Machine
	for _, m := range w.cloud.all() {
		if rand.IntN(2) == 0 {
			chosen = append(chosen, m)
			m.mu.Lock()
			set(m, true)
			m.mu.Unlock()
		}
	}
	time.AfterFunc(for_, func() {
		for _, m := range chosen {
			m.mu.Lock()
			set(m, false)
			m.mu.Unlock()
		}
	})
}

// cutZone cuts the machines and controllers of a zone from those of other zones, and if all is set from the
// state service and the cloud too.
func (w *World) cutZone(zone string, all bool, mode string) {
	for _, m := range w.cloud.all() {
		m.mu.Lock()
		for i, n := range w.nodes {
			if (n.zone == zone) != (m.Zone == zone) {
				m.cut[i] = mode
			}
		}
		m.mu.Unlock()
	}
	for ends, l := range w.links {
		if (w.nodes[ends[0]].zone == zone) != (w.nodes[ends[1]].zone == zone) {
			if mode == "reset" {
				l.set("refuse")
			} else {
				l.set(mode)
			}
		}
	}
	for i, n := range w.nodes {
		if all && n.zone == zone {
			w.store.set(func() { w.store.node[i] = nodeFaults{silent: mode != ""} })
			w.cutMu.Lock()
			w.cut[i] = mode != ""
			w.cutMu.Unlock()
		}
	}
}
