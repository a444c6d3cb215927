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

	"tulipshelf/internal/kvstore"
	"tulipshelf/internal/peer"
	"tulipshelf/internal/wire"
)

var writeFixture = flag.Bool("write-fixture", false, "write testdata/previous.txt anew")

const previousHeader = `# What the version before the last keeps in the state service and sends to other controllers:
# a key and its value in hex on each line, and a beat. Made by that version itself:
#   .ci/old-versions && go test -tags oldversions -run TestPreviousFixture ./internal/controller -write-fixture
# wk-000001 is a service that runs, wk-000002 is done, wk-000003 cancelled and over, wk-000004
# an array of 300 of which some are left, wk-000005 cancelled on machines that hang, wk-000006
# fails on every machine, wk-000500 is a gang that runs; a zone is cut off, so that reports and
# commands go through the state service.
`

// The fixture is what the previous version writes: the same keys, but for numbers of parts,
// as it writes now.
func TestPreviousFixture(t *testing.T) {
	simulateFrom(t, startPrevious, func(c *cluster) {
		c.bringAbout()
		var out bytes.Buffer
		out.WriteString(previousHeader)
		forms := map[string]bool{}
		store := kvstore.New(c.net.Dial("reader"), stateAddr, 1e6, 1e6)
		page, err := store.List(context.Background(), "", "", 1000, kvstore.PriorityLease)
		if err != nil {
			t.Fatal(err)
		}
		for _, item := range page.Items {
			if item.Key == "lead/holder" {
				continue // leased: it is gone once its controller is
			}
			forms[keyForm(item.Key)] = true
			fmt.Fprintf(&out, "%s %x\n", item.Key, []byte(item.Value))
		}
		fmt.Fprintf(&out, "beat %x\n", c.beatOf((c.leader()+1)%3))
		for _, w := range c.cloud.Machines() {
			w.Hang(false)
		}
		c.net.Partition(nil)
		if *writeFixture {
			if err := os.WriteFile("testdata/previous.txt", out.Bytes(), 0o644); err != nil {
				t.Fatal(err)
			}
		}
		for key := range keptBy(t, "previous") {
			if strings.Contains(key, "/") && !forms[keyForm(key)] {
				t.Errorf("the previous version no longer writes %s", key)
			}
		}
	})
}

// beatOf returns a controller's answer to a heartbeat.
func (c *cluster) beatOf(node int) []byte {
	c.t.Helper()
	client := wire.Client{Dial: c.net.Dial("user-reader"), Addr: peerAddr(node)}
	defer client.CloseIdle()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	beat, err := proto.Marshal(&peer.Heartbeat{Node: "reader"})
	if err != nil {
		c.t.Fatal(err)
	}
	resp, err := client.Do(ctx, "POST", "/beat", beat)
	if err != nil || resp.Status != 200 {
		c.t.Fatalf("no beat: %d, %v", resp.Status, err)
	}
	return resp.Body
}
