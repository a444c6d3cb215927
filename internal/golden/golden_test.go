package golden

import (
	"bytes"
	"fmt"
	"testing"
)

// TestReplayReplacesOutput guards against traces that never differ from their files because their old
// output is kept, and against commands, comments and empty lines that are lost.
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
