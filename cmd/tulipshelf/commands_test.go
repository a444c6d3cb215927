package main

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const exampleSettings = "../../internal/config/testdata/settings.json"

// execute runs a command line and returns what it prints.
func execute(args ...string) (string, error) {
	root := newRootCommand()
	var out bytes.Buffer
	root.SetOut(&out)
	root.SetArgs(args)
	err := root.Execute()
	return out.String(), err
}

func write(t *testing.T, name, content string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func TestVersion(t *testing.T) {
	if out, err := execute("version"); err != nil || out != "tulipshelf "+version+"\n" {
		t.Errorf("%q, %v", out, err)
	}
}

func TestCheckConfig(t *testing.T) {
	out, err := execute("check-config", "--config", exampleSettings)
	if err != nil || out != "settings are sound\n" {
		t.Errorf("%q, %v", out, err)
	}
}

// What is allowed but hardly meant is printed, and is no error.
func TestCheckConfigWarns(t *testing.T) {
	data, err := os.ReadFile(exampleSettings)
	if err != nil {
		t.Fatal(err)
	}
	unusual := strings.Replace(string(data), `"cpus_max": 64.0`, `"cpus_max": 1.0`, 1)
	out, err := execute("check-config", "--config", write(t, "settings.json", unusual))
	if err != nil || out != "note: team kitchen-ops: its limit is below its guarantee, and holds\nsettings are sound\n" {
		t.Errorf("%q, %v", out, err)
	}
}

// The faults of both files are named, a line each.
func TestCheckConfigNamesAllFaults(t *testing.T) {
	settings := write(t, "settings.json", "[]")
	operator := write(t, "operator", "(index (smoothing-s x) (update-s y))")
	_, err := execute("check-config", "--config", settings, "--operator", operator)
	if err == nil {
		t.Fatal("accepted")
	}
	lines := strings.Split(err.Error(), "\n")
	if len(lines) != 3 || !strings.HasPrefix(lines[0], settings+": not a JSON object") ||
		lines[1] != operator+`: line 1: index.smoothing-s: "x" is not a number` || !strings.HasPrefix(lines[2], operator+": line 1: index.update-s") {
		t.Errorf("%q", lines)
	}
	if status := exitStatus(err); status != exitUsage {
		t.Errorf("exit status %d", status)
	}
}

// Whatever the caller has to put right has an exit status of its own.
func TestUsageErrors(t *testing.T) {
	for _, args := range [][]string{
		{},
		{"no-such-command"},
		{"--no-such-flag"},
		{"version", "argument"},
		{"check-config"},
		{"check-config", "--config", "no-such-file"},
	} {
		if _, err := execute(args...); err == nil || exitStatus(err) != exitUsage {
			t.Errorf("%q: %v", args, err)
		}
	}
	if _, err := logLevel("loud"); exitStatus(err) != exitUsage {
		t.Errorf("%v", err)
	}
	if status := exitStatus(errors.New("store unreachable")); status != exitFailed {
		t.Errorf("exit status %d", status)
	}
}
