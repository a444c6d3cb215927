package leader

import (
	"math"

	"tulipshelf/internal/cloud"
	"tulipshelf/internal/config"
	"tulipshelf/internal/placement"
)

// unknownIndex stands for a machine type, zone or team without an index: its name is not in the topology,
// or not given.
const unknownIndex = -1

// topology maps the names of machine types, zones and teams to dense indices. Jobs and machines hold
// these indices, so names are added only before the event loop runs.
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

// addTypes sets the machine types to those of the catalog, and adds their zones.
func (t *topology) addTypes(types []cloud.Type) {
	t.types = types
	for i := range types {
		t.typeIndex[types[i].Name] = i
		for _, zone := range types[i].Zones {
			t.addZone(zone)
		}
	}
}

// updatePrices sets the prices of the machine types to those of a newer catalog. Types that are not in
// the topology are ignored; the next leader adds them.
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

// capacity returns the resources of an empty machine of a type.
func (t *topology) capacity(machineType int) placement.Amounts {
	spec := &t.types[machineType]
	return placement.Amounts{placement.CPU: spec.CPUs, placement.Memory: spec.RAM, placement.GPU: spec.GPUs}
}

// slowestBoot returns the longest of the types' usual boot times, in seconds; 0 without types.
func (t *topology) slowestBoot() float64 {
	seconds := 0.0
	for i := range t.types {
		seconds = math.Max(seconds, t.types[i].BootS)
	}
	return seconds
}

// fetchSeconds returns the estimated time in which a machine fetches an image, in seconds, at the highest
// fetch rate of all types; 0 if no rate is known.
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
