package autoscaler

import (
	"math"
	"sort"
)

// ArrayWork is what is left of one array: how many seconds until it is due, how many one task
// takes, and how many CPU seconds are left in all.
type ArrayWork struct {
	Due     float64
	Run     float64
	Seconds float64
	Waits   float64 // of these, of tasks that wait and that their team may run
}

// Slots returns how many CPUs the works should have at once, given how many
// there are for them. It takes the works in order of their due time
// and compares what is to be done by each with what can be done by then. New
// machines help only after boot seconds; where they come too late for the due
// time, they are asked for only as far as the work would outlast their first
// tasks.
func Slots(works []ArrayWork, have, boot float64) float64 {
	sort.Slice(works, func(i, j int) bool { return works[i].Due < works[j].Due })
	need, total := 0.0, 0.0
	for _, w := range works {
		total += w.Seconds
		due := math.Max(w.Due, w.Run)
		need = math.Max(need, math.Min(total/due, have))
		if short := total - have*due; short <= 0 {
			continue
		}
		help := due - boot
		if help < w.Run {
			help = 1.5 * w.Run
		}
		if short := total - have*(boot+help); short > 0 {
			need = math.Max(need, have+short/help)
		}
	}
	return need
}

// Drain returns how many CPUs arrays should have so that what waits is done soon,
// beside the usual load: what will still wait when machines rented now are up is
// spread over four times the time that they take to boot, or a task's run where that is
// longer. For less the boots would cost more than the wait.
//
// It guards against a queue that never empties. Machines for the usual load alone
// keep up with arrivals, but a backlog once formed stays, and arrays behind it are
// late (troubles of omaruru-fares-grown: 500 to 800 tasks waited for 100 s; a quiet day
// of kapana-orders-fleet: 5,000 waited behind the services of the start, some of them
// for 200 s, while a quarter of the machines to be had were not rented).
func Drain(works []ArrayWork, have, usual, boot float64) float64 {
	waits, cpus := 0.0, 0.0
	for _, w := range works {
		waits += w.Waits
		cpus += w.Waits / w.Run
	}
	left := waits + boot*(usual-have)
	if cpus == 0 || left <= 0 {
		return 0
	}
	return usual + left/math.Max(drainTimeInBoots*boot, waits/cpus)
}

// drainTimeInBoots is for how many times as long as it boots a machine should be of use.
const drainTimeInBoots = 4
