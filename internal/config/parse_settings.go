package config

// Parsing of the settings file. The names and units of its fields are here alone.

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"os"
)

const (
	kilobyte = 1 << 10
	megabyte = 1 << 20

	// maxAmount is far above every amount and rate that is meant.
	maxAmount = 1e9

	// minTxnOps is the lowest limit on the mutations of a transaction that is accepted.
	minTxnOps = 3
)

// ReadSettings reads and checks the settings file. Its error is one of the file system, or joins an
// error for each fault as ParseSettings does, with the path before each.
func ReadSettings(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("config: %w", err)
	}
	settings, err := ParseSettings(data)
	if err != nil {
		return nil, prefixEach(path, err)
	}
	return settings, nil
}

// ParseSettings checks the settings in data. Its error joins a FieldError for each field that is
// wrong, or holds that of the JSON decoder alone.
func ParseSettings(data []byte) (*Settings, error) {
	var fields map[string]any
	if err := json.Unmarshal(data, &fields); err != nil {
		return nil, errors.Join(fmt.Errorf("not a JSON object: %w", err))
	}
	found := &faults{}
	root := object{faults: found, fields: fields}
	params := root.object("params")
	endpoints := root.object("endpoints")
	settings := &Settings{
		Node:       root.text("node_name"),
		Zone:       root.text("site"),
		Listen:     root.addr("listen"),
		PeerListen: root.addr("peer_listen"),
		CloudAddr:  endpoints.addr("cloud"),
		StoreAddr:  endpoints.addr("state"),
		Peers:      parsePeers(root.objects("peers")),
		Zones:      params.texts("zones"),
		Teams:      parseTeams(params.objects("teams")),
		Objectives: parseObjectives(params.objects("objectives")),
		Workers:    parseWorkers(params.object("workers")),
		Store:      parseStoreLimits(params.object("state")),
		Cloud:      parseCloudLimits(params.object("cloud")),
		Resources:  parseResources(params.object("resources")),
	}
	if err := errors.Join(found.errs...); err != nil {
		return nil, err
	}
	return settings, nil
}

func parsePeers(objects []object) []Peer {
	var peers []Peer
	for _, peer := range objects {
		peers = append(peers, Peer{
			Node: peer.text("node_name"),
			Zone: peer.text("site"),
			Addr: peer.addr("endpoint"),
		})
	}
	return peers
}

func parseTeams(objects []object) []Team {
	var teams []Team
	names := map[string]bool{}
	for _, team := range objects {
		parsed := Team{
			Name:           team.text("name"),
			GuaranteedCPUs: team.number("cpus", 0, maxAmount),
			MaxCPUs:        parseMaximum(team, "cpus_max"),
			GuaranteedGPUs: team.optionalNumber("gpus", 0, maxAmount),
			MaxGPUs:        parseMaximum(team, "gpus_max"),
		}
		if names[parsed.Name] {
			team.fault("name", "names a team twice")
		}
		names[parsed.Name] = true
		teams = append(teams, parsed)
	}
	return teams
}

// parseMaximum reads one maximum of a team's quota. The platform writes 0, or nothing, for no
// maximum; taken literally, each job of a team without a guarantee would be refused
// (docs/incidents/inc-c8e5.md, docs/incidents/inc-bc39.md).
func parseMaximum(team object, name string) float64 {
	if maximum := team.optionalNumber(name, 0, maxAmount); maximum > 0 {
		return maximum
	}
	return math.Inf(1)
}

func parseObjectives(objects []object) []Objective {
	var objectives []Objective
	for _, objective := range objects {
		objectives = append(objectives, Objective{
			Kind:   ObjectiveKind(objective.text("kind")),
			Class:  objective.optionalText("class"),
			Within: objective.optionalSeconds("within_s", 0, 1e6),
			Times:  objective.optionalNumber("times", 0, 1e3),
		})
	}
	return objectives
}

func parseWorkers(workers object) Workers {
	return Workers{
		HeartbeatInterval: workers.seconds("report_s", 0.01, 1e4),
		Lease:             workers.seconds("lease_s", 0.01, 1e5),
		CancelDeadline:    workers.seconds("cancel_s", 0.01, 1e5),
		GangWait:          workers.optionalSeconds("gang_wait_s", 0.1, 1e5),
		GangNotice:        workers.optionalSeconds("gang_peer_s", 0.1, 1e4),
	}
}

func parseStoreLimits(store object) StoreLimits {
	limits := StoreLimits{
		RPS:        store.number("rps", 1, maxAmount),
		WriteRPS:   store.number("write_rps", 1, maxAmount),
		ValueBytes: int(store.number("value_kb", 1, 1024) * kilobyte),
		TxnOps:     int(store.number("txn_ops", minTxnOps, 1e4)),
	}
	if store.has("next") {
		limits.Next = parseNextLimits(store.object("next"), limits)
	}
	return limits
}

// parseNextLimits reads limits to come. What is not named stays as it is now, and none gets higher.
func parseNextLimits(next object, current StoreLimits) *StoreLimits {
	lowered := func(name string, minimum, current float64) float64 {
		if !next.has(name) {
			return current
		}
		return min(current, next.number(name, minimum, maxAmount))
	}
	return &StoreLimits{
		RPS:        lowered("rps", 1, current.RPS),
		WriteRPS:   lowered("write_rps", 1, current.WriteRPS),
		ValueBytes: int(lowered("value_kb", 1, float64(current.ValueBytes)/kilobyte) * kilobyte),
		TxnOps:     int(lowered("txn_ops", minTxnOps, float64(current.TxnOps))),
	}
}

func parseCloudLimits(cloud object) CloudLimits {
	return CloudLimits{
		RPS:     cloud.number("rps", 0.01, 1e6),
		ListLag: cloud.seconds("list_lag_s", 0, 1e4),
	}
}

func parseResources(resources object) Resources {
	return Resources{
		CPUShare:   resources.number("cpu_share", 0.001, 1e4),
		MemBytes:   int64(resources.number("mem_mb", 16, 1e7) * megabyte),
		MaxSockets: int(resources.number("max_sockets", 32, 1e7)),
	}
}
