package rental

import (
	"math"
	"sort"
)

// Work is what is left of one array: how long until it is due, how long one
// task takes and how much run time is left in all, in seconds.
type Work struct {
	Due     float64
	Run     float64
	Seconds float64
	Waits   float64 // of these, of tasks that wait and that their team may run
}

// Slots returns how many tasks of the works should run at once, given how many
// can on the machines there are. It takes the works in order of their due time
// and compares what is to be done by each with what can be done by then. New
// machines help only after boot seconds; where they come too late for the due
// time, they are asked for only as far as the work would outlast their first
// tasks.
func Slots(works []Work, have int, boot float64) int {
	sort.Slice(works, func(i, j int) bool { return works[i].Due < works[j].Due })
	need, total := 0.0, 0.0
	for _, w := range works {
		total += w.Seconds
		due := math.Max(w.Due, w.Run)
		need = math.Max(need, math.Min(total/due, float64(have)))
		if short := total - float64(have)*due; short <= 0 {
			continue
		}
		help := due - boot
		if help < w.Run {
			help = 1.5 * w.Run
		}
		if short := total - float64(have)*(boot+help); short > 0 {
			need = math.Max(need, float64(have)+short/help)
		}
	}
	return int(math.Ceil(need))
}

// Drain returns how many tasks should run at once so that what waits is done soon,
// beside the usual load: what will still wait when machines rented now are up is
// spread over four times the time that they take to boot, or a task's run where that is
// longer. For less the boots would cost more than the wait.
//
// It guards against a queue that never empties. Machines for the usual load alone
// keep up with arrivals, but a backlog once formed stays, and arrays behind it are
// late (troubles of omaruru-fares-grown: 500 to 800 tasks waited for 100 s; a quiet day
// of kapana-orders-fleet: 5,000 waited behind the services of the start, some of them
// for 200 s, while a quarter of the machines to be had were not rented).
func Drain(works []Work, have int, usual, boot float64) int {
	waits, tasks := 0.0, 0.0
	for _, w := range works {
		waits += w.Waits
		tasks += w.Waits / w.Run
	}
	left := waits + boot*(usual-float64(have))
	if tasks == 0 || left <= 0 {
		return 0
	}
	return int(math.Ceil(usual + left/math.Max(drainBoots*boot, waits/tasks)))
}

// drainBoots is for how many times as long as it boots a machine should be of use.
const drainBoots = 4
