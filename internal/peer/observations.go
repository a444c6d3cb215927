// What the other members have said last.

package peer

import (
	"time"
)

// ReachableWithin tells whether a node has been heard within d, or might have been had
// this node run for so long.
func (g *Group) ReachableWithin(node string, d time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	t, ok := g.heard[node]
	if !ok {
		t = g.began
	}
	return time.Since(t) < d
}

// LeadingWithin tells whether a node has said within d that it leads.
func (g *Group) LeadingWithin(node string, d time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return time.Since(g.leading[node]) < d
}

// MostRedirected returns how many machines another node, heard within d, has seen
// come by though it does not lead: the most of any.
func (g *Group) MostRedirected(d time.Duration) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	most := 0
	for node, count := range g.redirected {
		if time.Since(g.heard[node]) < d {
			most = max(most, count)
		}
	}
	return most
}

// AllRunGangs tells whether every other node has said that its version runs gangs.
func (g *Group) AllRunGangs() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, o := range g.config.Members {
		if !g.gangs[o.Node] {
			return false
		}
	}
	return true
}

// StoreServesNobody tells whether others were heard within d and none of them is served by
// the state service.
func (g *Group) StoreServesNobody(d time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	nobody := false
	for node, at := range g.heard {
		if time.Since(at) < d {
			if g.served[node] {
				return false
			}
			nobody = true
		}
	}
	return nobody
}
