// Package golden compares the output of code under test with golden files that people read and
// review: testdata/*.trace of the package under test.
//
// A trace is a sequence of lines. A line that begins with ">" is output, and every other one is input: a
// command with its arguments, a comment, whose first word is "#", or an empty line. The output of a
// command follows it. After an intended change,
//
//	go test ./internal/PACKAGE -update
//
// rewrites the output. The difference has to be reviewed like code.
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

var update = flag.Bool("update", false, "rewrite the golden files instead of comparing with them")

// Run replays each trace in testdata in a subtest of its own and compares the result, which includes the
// input lines, with the file. With -update it writes the result to the file instead. It fails the test if
// there is no trace.
func Run(t *testing.T, replay func(t *testing.T, trace []byte) []byte) {
	t.Helper()
	files, err := filepath.Glob("testdata/*.trace")
	if err != nil || len(files) == 0 {
		t.Fatal("no file matches testdata/*.trace; error:", err)
	}
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) { runTrace(t, file, replay) })
	}
}

func runTrace(t *testing.T, file string, replay func(t *testing.T, trace []byte) []byte) {
	t.Helper()
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
		t.Errorf("result differs from %s; got:\n%s", file, got)
	}
}

// Replay calls do with each command of a trace: its line and the words of the line. It returns the trace
// with the output of do after each command, in place of the trace's own output. do has to begin each line
// that it writes to out with ">". Comments and empty lines are kept.
func Replay(trace []byte, do func(out *bytes.Buffer, line string, words []string)) []byte {
	var out bytes.Buffer
	lines := bufio.NewScanner(bytes.NewReader(trace))
	for lines.Scan() {
		line := lines.Text()
		if isOutput := strings.HasPrefix(line, ">"); isOutput {
			continue
		}
		fmt.Fprintln(&out, line)
		words := strings.Fields(line)
		if isCommand := len(words) > 0 && words[0] != "#"; isCommand {
			do(&out, line, words)
		}
	}
	return out.Bytes()
}
