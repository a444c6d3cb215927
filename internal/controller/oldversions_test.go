//go:build oldversions

package controller

// Older versions as controllers of a test cluster. .ci/old-versions extracts their sources from the
// repository's history.

import (
	"context"
	"encoding/json"
	"math"
	"sync/atomic"
	"testing"
	"time"

	"tulipshelf/internal/clock"
	"tulipshelf/internal/config"
	"tulipshelf/internal/fake"
	"tulipshelf/internal/wire"
	previousconfig "tulipshelf/target/oldversion/previous/config"
	previouscontroller "tulipshelf/target/oldversion/previous/controller"
	previouswire "tulipshelf/target/oldversion/previous/wire"
	productionconfig "tulipshelf/target/oldversion/production/config"
	productioncontroller "tulipshelf/target/oldversion/production/controller"
	productionwire "tulipshelf/target/oldversion/production/wire"
)

// olderVersions maps the versions that this one has to run beside to the constructors of their
// controllers. The keys are the names of the fixtures.
var olderVersions = map[string]olderVersion{"production": newProductionController, "previous": newPreviousController}

// withEachOlderVersion runs f in a subtest for each older version, on a cluster whose controllers all run
// that version at first.
func withEachOlderVersion(t *testing.T, f func(c *cluster)) {
	for name, older := range olderVersions {
		t.Run(name, func(t *testing.T) { simulateFrom(t, older, f) })
	}
}

// newProductionController returns a controller of the production version that has not been started.
func newProductionController(s *config.Settings, network *fake.Network) olderController {
	parsed, err := productionconfig.ParseSettings(encodeSettings(s))
	if err != nil {
		panic(err)
	}
	return restartOnCrash(func(crash func()) olderNode {
		return productioncontroller.New(parsed, productionconfig.DefaultOperator(), productioncontroller.Network{
			Dial: productionwire.DialFunc(network.Dial(s.Listen)),
			Listen: func(ctx context.Context, server *productionwire.Server) error {
				network.Serve(ctx, server.Addr, func(ctx context.Context, req *wire.Request) (resp wire.Response) {
					defer recoverCrash(crash)
					r := productionwire.Request(*req)
					return wire.Response(server.Handler(ctx, &r))
				})
				return nil
			}})
	})
}

// newPreviousController returns a controller of the previous version that has not been started.
func newPreviousController(s *config.Settings, network *fake.Network) olderController {
	parsed, err := previousconfig.ParseSettings(encodeSettings(s))
	if err != nil {
		panic(err)
	}
	return restartOnCrash(func(crash func()) olderNode {
		return previouscontroller.New(parsed, previousconfig.DefaultOperator(), previouscontroller.Network{
			Dial: previouswire.DialFunc(network.Dial(s.Listen)),
			Listen: func(ctx context.Context, server *previouswire.Server) error {
				network.Serve(ctx, server.Addr, func(ctx context.Context, req *wire.Request) (resp wire.Response) {
					defer recoverCrash(crash)
					r := previouswire.Request(*req)
					return wire.Response(server.Handler(ctx, &r))
				})
				return nil
			}})
	})
}

// olderNode is implemented by the Node types of the older versions.
type olderNode interface {
	Run(context.Context) error
	Leads() bool
}

// restartDelay is the time from a crash of a process until the platform starts it again.
const restartDelay = 3 * time.Second

// restartOnCrash returns a controller that is started again after a crash, as the platform does. A newly
// elected leader of the production version may crash if a heartbeat arrives before its event loop runs
// (see TestHeartbeatsWaitForLeaderLoop). start is called for each process, with a function that ends the
// process and that recoverCrash calls.
func restartOnCrash(start func(crash func()) olderNode) olderController {
	var current atomic.Pointer[olderNode]
	run := func(ctx context.Context) error {
		for {
			processCtx, crash := context.WithCancel(ctx)
			node := start(crash)
			current.Store(&node)
			err := node.Run(processCtx)
			crashed := processCtx.Err() != nil && ctx.Err() == nil
			crash()
			if !crashed || !clock.Sleep(ctx, restartDelay) {
				return err
			}
		}
	}
	leads := func() bool {
		node := current.Load()
		return node != nil && (*node).Leads()
	}
	return olderController{run: run, leads: leads}
}

// recoverCrash ends the whole process by calling crash if the handler of a request has panicked. It has
// to be deferred.
func recoverCrash(crash func()) {
	if recover() != nil {
		crash()
	}
}

// encodeSettings encodes settings as the platform's settings file, in the form that all versions read.
func encodeSettings(s *config.Settings) []byte {
	file, err := json.Marshal(object{
		"node_name": s.Node, "site": s.Zone, "listen": s.Listen, "peer_listen": s.PeerListen, "peers": peerObjects(s.Peers),
		"endpoints": object{"cloud": s.CloudAddr, "state": s.StoreAddr},
		"params": object{"zones": s.Zones, "teams": teamObjects(s.Teams), "objectives": objectiveObjects(s.Objectives), "state": storeObject(&s.Store),
			"workers": object{"report_s": s.Workers.HeartbeatInterval.Seconds(), "lease_s": s.Workers.Lease.Seconds(), "cancel_s": s.Workers.CancelDeadline.Seconds(),
				"gang_wait_s": s.Workers.GangWait.Seconds(), "gang_peer_s": s.Workers.GangNotice.Seconds()},
			"cloud":     object{"rps": s.Cloud.RPS, "list_lag_s": s.Cloud.ListLag.Seconds()},
			"resources": object{"cpu_share": s.Resources.CPUShare, "mem_mb": float64(s.Resources.MemBytes) / (1 << 20), "max_sockets": s.Resources.MaxSockets},
		},
	})
	if err != nil {
		panic(err)
	}
	return file
}

// object is a JSON object in the settings file.
type object = map[string]any

func peerObjects(peers []config.Peer) []object {
	objects := []object{}
	for _, peer := range peers {
		objects = append(objects, object{"node_name": peer.Node, "site": peer.Zone, "endpoint": peer.Addr})
	}
	return objects
}

func teamObjects(teams []config.Team) []object {
	maximum := func(amount float64) float64 {
		if math.IsInf(amount, 1) {
			return 0 // unlimited, in the settings file
		}
		return amount
	}
	objects := []object{}
	for _, team := range teams {
		objects = append(objects, object{"name": team.Name, "cpus": team.GuaranteedCPUs, "cpus_max": maximum(team.MaxCPUs),
			"gpus": team.GuaranteedGPUs, "gpus_max": maximum(team.MaxGPUs)})
	}
	return objects
}

func objectiveObjects(objectives []config.Objective) []object {
	objects := []object{}
	for _, objective := range objectives {
		objects = append(objects, object{"kind": objective.Kind, "class": objective.Class, "within_s": objective.Within.Seconds(), "times": objective.Times})
	}
	return objects
}

func storeObject(limits *config.StoreLimits) object {
	store := object{"rps": limits.RPS, "write_rps": limits.WriteRPS, "value_kb": float64(limits.ValueBytes) / 1024, "txn_ops": limits.TxnOps}
	if limits.Next != nil {
		store["next"] = storeObject(limits.Next)
	}
	return store
}
