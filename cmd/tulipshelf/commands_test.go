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

// TestCheckConfigWarns guards against settings that are probably a mistake being refused, or accepted
// without a note.
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

// TestCheckConfigNamesAllFaults guards against faults of the operator file that are not named because the
// settings file has faults too, and against several faults on one line.
func TestCheckConfigNamesAllFaults(t *testing.T) {
	settings := write(t, "settings.json", "[]")
	operator := write(t, "operator", "(index (smoothing-s x) (update-s y))")
	_, err := execute("check-config", "--config", settings, "--operator", operator)
	if err == nil {
		t.Fatal("files with faults are accepted")
	}
	lines := strings.Split(err.Error(), "\n")
	if len(lines) != 3 || !strings.HasPrefix(lines[0], settings+": not a JSON object") ||
		lines[1] != operator+`: line 1: index.smoothing-s: "x" is not a number` || !strings.HasPrefix(lines[2], operator+": line 1: index.update-s") {
		t.Errorf("error lines %q, want one of the settings and two of the operator file", lines)
	}
	if status := exitStatus(err); status != exitUsage {
		t.Errorf("exit status %d, want %d", status, exitUsage)
	}
}

// TestUsageErrors guards against errors that the caller has to correct having the exit status of a failed
// controller, and the reverse.
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
			t.Errorf("%q: error %v, want one with exit status %d", args, err, exitUsage)
		}
	}
	if _, err := logLevel("loud"); exitStatus(err) != exitUsage {
		t.Errorf("unknown log level: error %v, want one with exit status %d", err, exitUsage)
	}
	if status := exitStatus(errors.New("store unreachable")); status != exitFailed {
		t.Errorf("exit status %d, want %d", status, exitFailed)
	}
}
