package placement

import "testing"

// TestRankingOfMachines guards against tasks on machines that are worse than another feasible one: by
// the time until the image is there, then by load index, then by position in the list.
func TestRankingOfMachines(t *testing.T) {
	const fetching = true
	for _, test := range []struct {
		name     string
		machines []Machine
		images   []ImageState
		want     int
	}{
		{"lowest load index", []Machine{{LoadIndex: 3}, {LoadIndex: 1}, {LoadIndex: 2}}, nil, 1},
		{"first of equals", []Machine{{LoadIndex: 2}, {LoadIndex: 1}, {LoadIndex: 1}}, nil, 1},
		{"image on the machine before image being fetched", []Machine{{LoadIndex: 1}, {LoadIndex: 9}}, []ImageState{ImageFetching, ImageReady}, 1},
		{"image being fetched before a new fetch", []Machine{{LoadIndex: 1}, {LoadIndex: 9, FetchesImage: fetching}}, []ImageState{ImageMissing, ImageFetching}, 1},
		{"single fetch before parallel fetch", []Machine{{LoadIndex: 1, FetchesImage: fetching}, {LoadIndex: 9}}, []ImageState{ImageMissing, ImageMissing}, 1},
		{"lowest load index of equal image states", []Machine{{LoadIndex: 2}, {LoadIndex: 1}}, []ImageState{ImageReady, ImageReady}, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			for position := range test.machines {
				test.machines[position].AcceptsTasks = true
			}
			jobs := []Job{{Zone: AnyZone, Image: test.images, TasksInZone: make([]int, 1)}}
			p := newPass(traceStart, test.machines, jobs, []Team{{}})
			if got := p.bestMachine(&jobs[0], anyMachine); got != test.want {
				t.Errorf("bestMachine returns %d, want %d", got, test.want)
			}
			if ranked := p.rankedMachines(&jobs[0], anyMachine); ranked[0] != test.want {
				t.Errorf("rankedMachines returns %v, want %d first", ranked, test.want)
			}
		})
	}
	closed := newPass(traceStart, []Machine{{}}, nil, nil)
	if got := closed.bestMachine(&Job{Zone: AnyZone, TasksInZone: make([]int, 1)}, anyMachine); got != noMachine {
		t.Errorf("bestMachine returns %d though no machine is feasible", got)
	}
}
