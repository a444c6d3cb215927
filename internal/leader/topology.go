package leader

import (
	"math"

	"tulipshelf/internal/cloud"
	"tulipshelf/internal/config"
	"tulipshelf/internal/placement"
)

// unknownIndex stands for a machine type, zone or team that this leader has no index of.
const unknownIndex = -1

// topology maps the names of machine types, zones and teams to dense indices. Names are added only
// before the event loop runs: jobs and machines hold indices.
type topology struct {
	types     []cloud.Type
	typeIndex map[string]int
	zones     []string
	zoneIndex map[string]int
	teams     []config.Team
	teamIndex map[string]int
}

func newTopology(settings *config.Settings) *topology {
	t := &topology{typeIndex: map[string]int{}, zoneIndex: map[string]int{}, teamIndex: map[string]int{}, teams: settings.Teams}
	for _, zone := range settings.Zones {
		t.addZone(zone)
	}
	for i := range settings.Teams {
		t.teamIndex[settings.Teams[i].Name] = i
	}
	return t
}

func (t *topology) addZone(name string) {
	if _, known := t.zoneIndex[name]; known {
		return
	}
	t.zoneIndex[name] = len(t.zones)
	t.zones = append(t.zones, name)
}

// addTypes takes the catalog with which the leader begins.
func (t *topology) addTypes(types []cloud.Type) {
	t.types = types
	for i := range types {
		t.typeIndex[types[i].Name] = i
		for _, zone := range types[i].Zones {
			t.addZone(zone)
		}
	}
}

// updatePrices takes current prices. Types that are new wait for the next leader.
func (t *topology) updatePrices(types []cloud.Type) {
	for i := range types {
		if index, known := t.typeIndex[types[i].Name]; known {
			t.types[index].Hourly, t.types[index].SpotPrice = types[i].Hourly, types[i].SpotPrice
		}
	}
}

// resolve returns the indices of a machine's type and zone, or unknownIndex for either.
func (t *topology) resolve(typeName, zoneName string) (machineType, zone int) {
	return indexOf(t.typeIndex, typeName), indexOf(t.zoneIndex, zoneName)
}

func indexOf(indices map[string]int, name string) int {
	if index, known := indices[name]; known {
		return index
	}
	return unknownIndex
}

// capacity returns what a machine of a type holds.
func (t *topology) capacity(machineType int) placement.Amounts {
	spec := &t.types[machineType]
	return placement.Amounts{placement.CPU: spec.CPUs, placement.Memory: spec.RAM, placement.GPU: spec.GPUs}
}

// slowestBoot returns the usual boot time, in seconds, of the type that takes longest.
func (t *topology) slowestBoot() float64 {
	seconds := 0.0
	for i := range t.types {
		seconds = math.Max(seconds, t.types[i].BootS)
	}
	return seconds
}

// fetchSeconds returns about how long a machine takes to fetch an image.
func (t *topology) fetchSeconds(imageGB float64) float64 {
	rate := 0.0
	for i := range t.types {
		rate = math.Max(rate, t.types[i].FetchRate)
	}
	if rate <= 0 {
		return 0
	}
	return imageGB / rate
}
