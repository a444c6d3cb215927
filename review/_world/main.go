package main

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"time"
)

// cases are the cases that the folders of the review start. Each returns the exit status.
var cases = map[string]func(w *World, trouble bool) int{"standstill": standstill, "avoided": avoided, "memory": memory}

func main() {
	dir := flag.String("dir", ".", "folder of record.txt")
	netByte := flag.Int("net", 0, "second byte of the loopback addresses; 0: by the process id")
	name := flag.String("case", "", "case to run")
	seconds := flag.Int("hunt", 0, "seconds of a random day in place of a case")
	quiet := flag.Int("quiet", 30, "seconds without troubles at the end of a random day")
	limit := flag.Float64("limit", 0, "limit of every team in CPUs on a random day; 0: as deployed")
	next := flag.Bool("next", false, "the state service lowers its limits on a random day")
	large := flag.Bool("fleet", false, "a random day of the large deployment")
	level := flag.String("level", "info", "LOG_LEVEL of the controllers")
	flag.Parse()
	if *netByte == 0 {
		*netByte = 1 + os.Getpid()%250
	}
	w := newWorld(*dir, *netByte)
	w.level = *level
	if run := cases[*name]; run != nil {
		status := run(w, os.Getenv("TROUBLE") != "0")
		w.stopNodes()
		os.Exit(status)
	}
	if *seconds == 0 {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(2)
	}
	w.kapana()
	if *large {
		w.teams = nil
		w.fleet()
		w.pull, w.cloud.boot, w.build["startup_s"] = 1, 5*time.Second, 5.0
		w.machines, w.factor, w.cloud.capacity = 250, 30, 150
	}
	if *limit > 0 {
		for crew := range w.limits {
			w.limits[crew] = *limit
		}
		for _, team := range w.teams {
			team["cpus_max"] = *limit
		}
	}
	if *next {
		w.state["next"] = map[string]any{"rps": 80.0, "write_rps": 18.0, "value_kb": 2.0, "txn_ops": 4}
		time.AfterFunc(time.Duration(*seconds/3)*time.Second, func() {
			w.logf("TROUBLE the state service lowers its limits")
			w.store.set(func() { w.store.valueKB, w.store.txnOps, w.store.writes = 2, 4, newBucket(18) })
		})
	}
	hunt(w, *seconds, *quiet)
	time.Sleep(200 * time.Millisecond)
	w.stopNodes()
	fmt.Println(*dir, "starts", w.rules.starts, "jobs", len(w.users.jobs), w.users.stats)
	os.Exit(w.verdict(""))
}

// verdict prints and records the broken rules and returns the exit status: 1 if one of those that begin
// with prefix was broken, 0 otherwise.
func (w *World) verdict(prefix string) (status int) {
	w.rules.mu.Lock()
	defer w.rules.mu.Unlock()
	for _, v := range w.rules.violations {
		fmt.Println("broken:", v)
		if strings.HasPrefix(v, prefix) {
			status = 1
		}
	}
	if status == 0 {
		fmt.Println("the rule held")
		w.logf("the rule held")
	}
	return status
}
