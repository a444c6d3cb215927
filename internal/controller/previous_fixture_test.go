//go:build oldversions

package controller

// The fixture testdata/previous.txt. The previous version itself writes it, as the controllers of a test
// cluster.

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

// writeFixture makes TestPreviousFixture overwrite the fixture before it compares.
var writeFixture = flag.Bool("write-fixture", false, "overwrite testdata/previous.txt")

// previousHeader is the header of testdata/previous.txt, byte for byte. The lines after it are the stored
// values and a heartbeat.
const previousHeader = `# What the version before the last keeps in the state service and sends to other controllers:
# a key and its value in hex on each line, and a beat. Made by that version itself:
#   .ci/old-versions && go test -tags oldversions -run TestPreviousFixture ./internal/controller -write-fixture
# wk-000001 is a service that runs, wk-000002 is done, wk-000003 cancelled and over, wk-000004
# an array of 300 of which some are left, wk-000005 cancelled on machines that hang, wk-000006
# fails on every machine, wk-000500 is a gang that runs; a zone is cut off, so that reports and
# commands go through the state service.
`

// Guards against a fixture that differs from what the previous version stores. Controllers of that
// version create the fixture's state again, and for each key of the fixture they store a key of the
// same pattern (keyPattern, which ignores numbers such as those of chunks). Values are not compared,
// nor are keys without a / (the catalog and the heartbeat).
func TestPreviousFixture(t *testing.T) {
	simulateFrom(t, newPreviousController, func(c *cluster) {
		c.createFixtureState()
		var out bytes.Buffer
		out.WriteString(previousHeader)
		patterns := map[string]bool{}
		for _, item := range c.storedItems() {
			if item.Key == "lead/holder" {
				continue // the store deletes it with its lease, after its controller has ended
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
				t.Errorf("testdata/previous.txt has the key %s, of a kind that the previous version did not write in this run", key)
			}
		}
	})
}

// peerHeartbeat sends a heartbeat to a controller, as another controller does, and returns the encoded
// heartbeat in the response.
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
		c.t.Fatalf("heartbeat to controller %d: %v", node, err)
	}
	if resp.Status != 200 {
		c.t.Fatalf("heartbeat to controller %d: status %d, want 200", node, resp.Status)
	}
	return resp.Body
}
