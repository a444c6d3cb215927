package placement

import "cmp"

// compareMachines tells which of two machines comes first for j: the lowest index, the first
// of equals.
//
// Exception to the design: where j.Image is given, a machine that has the job's
// image comes before one that fetches it, that before one that has it yet to fetch,
// and of those one that fetches nothing else, as fetches share the machine's rate. It
// is given for images that take longer to fetch than the index remembers; on
// omaruru-fares a fetch of 20 s kept machines paid and idle and services from their
// start aim.
func (p *pass) compareMachines(j *Job, a, b int) int {
	return cmp.Or(cmp.Compare(p.imageRank(j, a), p.imageRank(j, b)), cmp.Compare(p.machines[a].Load, p.machines[b].Load), a-b)
}

// imageRank tells how soon a machine would have the job's image: 0 the soonest.
func (p *pass) imageRank(j *Job, m int) int {
	switch {
	case j.Image == nil || j.Image[m] == Warm:
		return 0
	case j.Image[m] == Coming:
		return 1
	case !p.machines[m].Fetch:
		return 2
	}
	return 3
}

// bestMachine returns the fitting machine that comes first, or -1. only, if not
// negative, names the zone.
func (p *pass) bestMachine(j *Job, only int) int {
	best := -1
	for i := range p.machines {
		if p.feasible(j, i, only) && (best < 0 || p.compareMachines(j, i, best) < 0) {
			best = i
		}
	}
	return best
}
