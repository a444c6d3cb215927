package placement

// Ranking: which of the feasible machines is best for a task.

import "cmp"

// noMachine is returned in place of a machine's position where there is none.
const noMachine = -1

// imageRank orders machines by how soon they would have a job's image, the soonest first.
type imageRank int

const (
	imageOnMachine      imageRank = iota // it has the image, or the image does not matter for the job
	imageBeingFetched                    // it fetches the image now
	imageToFetch                         // it would fetch the image at once
	imageToFetchDelayed                  // it would fetch the image beside another, which takes longer
)

// bestMachine returns the feasible machine that comes first, or noMachine.
func (p *pass) bestMachine(job *Job, filter machineFilter) int {
	best := noMachine
	for machineIndex := range p.machines {
		if !p.feasible(job, machineIndex, filter) {
			continue
		}
		if best == noMachine || p.compareMachines(job, machineIndex, best) < 0 {
			best = machineIndex
		}
	}
	return best
}

// compareMachines compares two machines for a task, the better one first: by the design the one with the
// lowest load index, and of equals the first in the list.
//
// Exception 2 to the design (docs/placement.md): where the job's Image is given, the image comes before the
// index. The caller gives it for images that take longer to fetch than the index remembers: without the
// exception machines are paid for while they fetch, and services miss the time in which they should start.
func (p *pass) compareMachines(job *Job, a, b int) int {
	return cmp.Or(
		cmp.Compare(p.imageRankOn(job, a), p.imageRankOn(job, b)),
		cmp.Compare(p.machines[a].Load, p.machines[b].Load),
		a-b)
}

// imageRankOn returns how soon a machine would have the job's image.
func (p *pass) imageRankOn(job *Job, machineIndex int) imageRank {
	switch {
	case job.Image == nil || job.Image[machineIndex] == ImageReady:
		return imageOnMachine
	case job.Image[machineIndex] == ImageFetching:
		return imageBeingFetched
	case !p.machines[machineIndex].FetchesImage:
		return imageToFetch
	}
	return imageToFetchDelayed
}
