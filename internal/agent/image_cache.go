package agent

import "time"

// Images is what a machine is thought to have cached: a machine keeps the
// images used most recently.
type Images struct {
	gb   map[string]float64
	used map[string]time.Time
	here map[string]bool // fetched: a task that needs it has run
}

// Fetched notes that a task with the image runs.
func (x *Images) Fetched(name string) {
	if _, ok := x.gb[name]; ok && !x.here[name] {
		if x.here == nil {
			x.here = map[string]bool{}
		}
		x.here[name] = true
	}
}

// Ready tells whether the machine is thought to have the image fetched.
func (x *Images) Ready(name string) bool { return x.here[name] }

// Use notes that a task with the image is, or soon will be, on the machine.
func (x *Images) Use(name string, gb, room float64, now time.Time) {
	if x.gb == nil {
		x.gb, x.used = map[string]float64{}, map[string]time.Time{}
	}
	x.gb[name], x.used[name] = gb, now
	for {
		total, oldest := 0.0, name
		for n, size := range x.gb {
			total += size
			if x.used[n].Before(x.used[oldest]) {
				oldest = n
			}
		}
		if total <= room || oldest == name {
			return
		}
		delete(x.gb, oldest)
		delete(x.used, oldest)
		delete(x.here, oldest)
	}
}

// Has tells whether the machine is thought to have the image, or to fetch it.
func (x *Images) Has(name string) bool {
	_, ok := x.gb[name]
	return ok
}
