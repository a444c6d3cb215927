package golden

import (
	"bytes"
	"fmt"
	"testing"
)

// Replay replaces the output of a trace and keeps its commands, comments and empty lines. Were old
// output kept, a trace would never differ from what it was once.
func TestReplayReplacesOutput(t *testing.T) {
	trace := "# a comment\n\nadd 1 2\n> stale\n> stale too\nadd 3 4\n"
	got := Replay([]byte(trace), func(out *bytes.Buffer, line string, words []string) {
		fmt.Fprintf(out, "> %d words in %q\n", len(words), line)
	})
	want := "# a comment\n\nadd 1 2\n> 3 words in \"add 1 2\"\nadd 3 4\n> 3 words in \"add 3 4\"\n"
	if string(got) != want {
		t.Errorf("got:\n%s\nwant:\n%s", got, want)
	}
}
