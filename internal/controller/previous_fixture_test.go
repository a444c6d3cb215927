//go:build oldversions

package controller

// testdata/previous.txt is written by the previous version itself, run as a controller.

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"tulipshelf/internal/peer"
	"tulipshelf/internal/wire"
)

// writeFixture writes the fixture instead of comparing with it.
var writeFixture = flag.Bool("write-fixture", false, "overwrite testdata/previous.txt")

// previousHeader begins the file, which is compared byte for byte.
const previousHeader = `# What the version before the last keeps in the state service and sends to other controllers:
# a key and its value in hex on each line, and a beat. Made by that version itself:
#   .ci/old-versions && go test -tags oldversions -run TestPreviousFixture ./internal/controller -write-fixture
# wk-000001 is a service that runs, wk-000002 is done, wk-000003 cancelled and over, wk-000004
# an array of 300 of which some are left, wk-000005 cancelled on machines that hang, wk-000006
# fails on every machine, wk-000500 is a gang that runs; a zone is cut off, so that reports and
# commands go through the state service.
`

// The fixture is what the previous version writes: the same keys, but for numbers of chunks, as now.
func TestPreviousFixture(t *testing.T) {
	simulateFrom(t, newPreviousController, func(c *cluster) {
		c.createFixtureState()
		var out bytes.Buffer
		out.WriteString(previousHeader)
		patterns := map[string]bool{}
		for _, item := range c.storedItems() {
			if item.Key == "lead/holder" {
				continue // it has a lease and is gone once its controller is
			}
			patterns[keyPattern(item.Key)] = true
			fmt.Fprintf(&out, "%s %x\n", item.Key, []byte(item.Value))
		}
		fmt.Fprintf(&out, "beat %x\n", c.peerHeartbeat((c.leader()+1)%controllers))
		c.resumeMachines()
		c.heal()
		if *writeFixture {
			if err := os.WriteFile("testdata/previous.txt", out.Bytes(), 0o644); err != nil {
				t.Fatal(err)
			}
		}
		for key := range readFixture(t, "previous") {
			if strings.Contains(key, "/") && !patterns[keyPattern(key)] {
				t.Errorf("the previous version no longer writes %s", key)
			}
		}
	})
}

// peerHeartbeat returns a controller's response to a heartbeat of another controller.
func (c *cluster) peerHeartbeat(node int) []byte {
	c.t.Helper()
	client := wire.Client{Dial: c.network.Dial("user-reader"), Addr: peerAddr(node)}
	defer client.CloseIdle()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	body, err := proto.Marshal(&peer.Heartbeat{Node: "reader"})
	if err != nil {
		c.t.Fatal(err)
	}
	resp, err := client.Do(ctx, "POST", "/beat", body)
	if err != nil {
		c.t.Fatalf("no heartbeat: %v", err)
	}
	if resp.Status != 200 {
		c.t.Fatalf("no heartbeat: %d", resp.Status)
	}
	return resp.Body
}
