// Package tracetest runs kept traces: texts that people read, in which lines
// that begin with ">" are what the code answered and all others what is given.
package tracetest

import (
	"bytes"
	"flag"
	"os"
	"path/filepath"
	"testing"
)

var update = flag.Bool("update", false, "write the traces anew")

// Run replays each trace under testdata and compares what comes out, which
// holds the given lines as well, with what is kept.
func Run(t *testing.T, replay func(*testing.T, []byte) []byte) {
	t.Helper()
	files, err := filepath.Glob("testdata/*.trace")
	if err != nil || len(files) == 0 {
		t.Fatal("no traces", err)
	}
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			want, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			got := replay(t, want)
			if *update {
				if err := os.WriteFile(file, got, 0o644); err != nil {
					t.Fatal(err)
				}
				return
			}
			if !bytes.Equal(got, want) {
				t.Errorf("trace differs:\n%s", got)
			}
		})
	}
}
