package main

import (
	"fmt"
	"os"
	"strings"
	"time"
)

// lean lays out the world like kit/lean/kapana-orders-lean.toml.
func (w *World) lean() {
	w.kapana()
	w.teams = nil
	w.reportEvery = 5 * time.Second
	w.addTeam("kitchen-ops", 250, 700)
	w.addTeam("rider-desk", 500, 1000)
	w.addTeam("ledger-crew", 400, 800)
	w.resources = map[string]any{"cpu_share": 0.029, "mem_mb": 81.0, "max_sockets": 1000}
	w.setCloud(5, 4*time.Second, "counter-box", 4, 16, 1, 50*time.Second)
	w.machines = 63
}

// resident returns the resident memory of the controller in MB, 0 if it does not run.
func (n *Node) resident() (mb float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd == nil || !n.running || n.killed {
		return 0
	}
	data, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.cmd.Process.Pid))
	for _, line := range strings.Split(string(data), "\n") {
		if _, err := fmt.Sscanf(line, "VmRSS: %f", &mb); err == nil {
			return mb / 1024
		}
	}
	return 0
}

// memory is the case of review/3: jobs of many tiny tasks come three times as often. The platform ends a
// controller that holds more than mem_mb and starts it again 3 s later.
func memory(w *World, trouble bool) int {
	w.lean()
	w.oneAddr = true
	limit := w.resources["mem_mb"].(float64)
	w.startNodes(3)
	w.seedMachines()
	if !await(10*time.Second, func() bool { return w.leaderIndex() >= 0 }) {
		w.fatal("no leader")
	}
	time.Sleep(5 * time.Second)
	over := make(chan struct{})
	peak := make([]float64, len(w.nodes))
	go func() {
		for range time.Tick(100 * time.Millisecond) {
			for i, n := range w.nodes {
				mb := n.resident()
				peak[i] = max(peak[i], mb)
				if mb > limit {
					w.rules.report("memory", "%s holds %.0f MB of %.0f, leader is shelf-%d", n.name, mb, limit, w.leaderIndex())
					n.kill(3 * time.Second)
				}
			}
			select {
			case <-over:
				return
			default:
			}
		}
	}()
	count := 1
	if trouble {
		count = 3
		w.logf("TROUBLE jobs of the class come %d times as often", count)
	}
	for i := range count {
		j := w.users.add(func(j *Job) {
			j.Crew, j.Tickets, j.CPUs, j.RAM, j.ImageGB, j.ExpectS, j.runS = []string{"rider-desk", "ledger-crew", "kitchen-ops"}[i], 100000, 0.001, 0.001, 0.1, 60, 60
		})
		if !w.users.submit(j) {
			w.fatal("%s was not accepted", j.UID)
		}
	}
	for range 9 {
		time.Sleep(2 * time.Second)
		text := ""
		for _, n := range w.nodes {
			text += fmt.Sprintf(" %s %.1f MB", n.name, n.resident())
		}
		w.logf("held:%s, %d starts", text, w.rules.startCount())
	}
	close(over)
	w.logf("most held: %.1f MB of %.0f", peak, limit)
	return w.verdict("memory")
}
