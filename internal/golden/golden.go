// Package golden runs kept traces: texts that people read, in which lines
// that begin with ">" are what the code answered and all others what is given.
package golden

import (
	"bufio"
	"bytes"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
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

// Replay hands the given lines of a trace to do, word by word, and returns the
// trace with what do writes behind each. Comments and empty lines are kept.
func Replay(trace []byte, do func(out *bytes.Buffer, line string, word []string)) []byte {
	var out bytes.Buffer
	sc := bufio.NewScanner(bytes.NewReader(trace))
	for sc.Scan() {
		line := sc.Text()
		if strings.HasPrefix(line, ">") {
			continue
		}
		fmt.Fprintln(&out, line)
		if word := strings.Fields(line); len(word) > 0 && word[0] != "#" {
			do(&out, line, word)
		}
	}
	return out.Bytes()
}
