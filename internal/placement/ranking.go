package placement

// Ranking of the feasible machines for a task.

import "cmp"

// noMachine is returned in place of a machine's position if there is no such machine.
const noMachine = -1

// imageRank ranks machines by the time until they have a job's image, the shortest first.
type imageRank int

const (
	imageOnMachine      imageRank = iota // has the image, or images are not compared for the job
	imageBeingFetched                    // is fetching the image
	imageToFetch                         // would fetch the image and is fetching no other
	imageToFetchDelayed                  // would fetch the image in parallel with another, which takes longer
)

// bestMachine returns the feasible machine that ranks first; noMachine if none is feasible.
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

// compareMachines compares two machines for a task and returns a negative number if a is better. By the
// design, the machine with the lower load index is better, and of equals the one that comes first in the
// list.
//
// Exception 2 to the design (docs/placement.md): if the job's Image is set, the image is compared before
// the index. The caller sets Image for images that take longer to fetch than the smoothing time of the
// index, or a large part of the time in which the job should start. Without the exception, machines are
// paid for while they fetch images, and services miss the time in which they should start.
func (p *pass) compareMachines(job *Job, a, b int) int {
	return cmp.Or(
		cmp.Compare(p.imageRankOn(job, a), p.imageRankOn(job, b)),
		cmp.Compare(p.machines[a].LoadIndex, p.machines[b].LoadIndex),
		a-b)
}

// imageRankOn returns a machine's rank by the time until it has the job's image.
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
