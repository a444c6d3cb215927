package placement

import "testing"

// TestRankingOfMachines fails if a task goes to a machine that is worse than another: by when it would have
// the image, then by load index, then by its place in the list.
func TestRankingOfMachines(t *testing.T) {
	const fetching = true
	for _, test := range []struct {
		name     string
		machines []Machine
		images   []ImageState
		want     int
	}{
		{"lowest load index", []Machine{{Load: 3}, {Load: 1}, {Load: 2}}, nil, 1},
		{"first of equals", []Machine{{Load: 2}, {Load: 1}, {Load: 1}}, nil, 1},
		{"image there before it is fetched", []Machine{{Load: 1}, {Load: 9}}, []ImageState{ImageFetching, ImageReady}, 1},
		{"image being fetched before a new fetch", []Machine{{Load: 1}, {Load: 9, FetchesImage: fetching}}, []ImageState{ImageMissing, ImageFetching}, 1},
		{"fetch alone before fetch beside another", []Machine{{Load: 1, FetchesImage: fetching}, {Load: 9}}, []ImageState{ImageMissing, ImageMissing}, 1},
		{"load index among equal images", []Machine{{Load: 2}, {Load: 1}}, []ImageState{ImageReady, ImageReady}, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			for position := range test.machines {
				test.machines[position].AcceptsTasks = true
			}
			jobs := []Job{{Zone: AnyZone, Image: test.images, TasksInZone: make([]int, 1)}}
			p := newPass(traceStart, test.machines, jobs, []Team{{}})
			if got := p.bestMachine(&jobs[0], anyMachine); got != test.want {
				t.Errorf("machine %d, want %d", got, test.want)
			}
			if ranked := p.rankedMachines(&jobs[0], anyMachine); ranked[0] != test.want {
				t.Errorf("ranked %v, want %d first", ranked, test.want)
			}
		})
	}
	closed := newPass(traceStart, []Machine{{}}, nil, nil)
	if got := closed.bestMachine(&Job{Zone: AnyZone, TasksInZone: make([]int, 1)}, anyMachine); got != noMachine {
		t.Errorf("machine %d where none is feasible", got)
	}
}
