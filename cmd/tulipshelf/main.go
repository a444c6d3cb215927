// Command tulipshelf is the controller daemon of a cluster scheduler.
//
// main.go turns errors into exit statuses, commands.go defines the command line, and run.go sets up the
// process and runs the controller.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strings"
)

// version of the program.
const version = "0.1.0"

// Exit statuses.
const (
	exitFailed = 1
	exitUsage  = 2 // bad arguments, settings, operator file or environment
)

// usageError marks an error that the caller has to correct. The exit status is exitUsage then.
type usageError struct{ err error }

func (e usageError) Error() string { return e.err.Error() }

func (e usageError) Unwrap() error { return e.err }

func main() {
	err := newRootCommand().ExecuteContext(context.Background())
	if err == nil {
		return
	}
	// Each of several joined errors is on a line of its own.
	for line := range strings.SplitSeq(err.Error(), "\n") {
		fmt.Fprintln(os.Stderr, "tulipshelf:", line)
	}
	os.Exit(exitStatus(err))
}

func exitStatus(err error) int {
	var usage usageError
	if errors.As(err, &usage) {
		return exitUsage
	}
	return exitFailed
}
