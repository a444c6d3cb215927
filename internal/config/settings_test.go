package config

import (
	"errors"
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// example returns the example settings file. Of each pair of replacements, the first text is replaced by
// the second.
func example(t *testing.T, replacements ...string) []byte {
	t.Helper()
	data, err := os.ReadFile("testdata/settings.json")
	if err != nil {
		t.Fatal(err)
	}
	return []byte(strings.NewReplacer(replacements...).Replace(string(data)))
}

// withNext returns the example settings file with next as the future limits of the store.
func withNext(t *testing.T, next string) []byte {
	t.Helper()
	return []byte(strings.Replace(string(example(t)), `"rps": 80.0`, `"next": `+next+`, "rps": 80.0`, 1))
}

func TestSettings(t *testing.T) {
	settings, err := ParseSettings(example(t))
	if err != nil {
		t.Fatal(err)
	}
	if settings.Node != "shelf-0" || settings.Store.ValueBytes != 8192 || settings.Workers.Lease != 26*time.Second || settings.Teams[0].MaxCPUs != 64 {
		t.Errorf("%+v", settings)
	}
	if settings.Workers.GangWait != 45*time.Second || settings.Workers.GangNotice != 4*time.Second {
		t.Errorf("%+v", settings.Workers)
	}
}

// TestSettingsRefused guards against errors that do not name the field and the reason.
func TestSettingsRefused(t *testing.T) {
	for _, test := range []struct{ from, to, want string }{
		{`"shelf-0"`, `""`, "node_name: must be a text"},
		{`10.0.0.1:8080`, `localhost:8080`, `listen: "localhost:8080" must be an IPv4 address`},
		{`"rps": 80.0`, `"rps": -1`, "params.state.rps: -1 is not between"},
		{`"rps": 80.0`, `"rps": "many"`, "params.state.rps: must be a number"},
		{`"workers": {`, `"others": {`, "params.workers: must be an object"},
		{`"cpus": 24.0`, `"cpus": null`, "params.teams[0].cpus: must be a number"},
		{`"walvis-bay", "windhoek-north"]`, `"walvis-bay", 7]`, "params.zones[1]: must be a text"},
		{`"rider-desk"`, `"kitchen-ops"`, "params.teams[1].name: names a team twice"},
	} {
		data := strings.Replace(string(example(t)), test.from, test.to, 1)
		_, err := ParseSettings([]byte(data))
		if err == nil || !strings.Contains(err.Error(), test.want) {
			t.Errorf("%s for %s: error %v, want %q in it", test.to, test.from, err, test.want)
		}
		field, reason, _ := strings.Cut(test.want, ": ")
		var fieldError FieldError
		if !errors.As(err, &fieldError) || fieldError.Field != field || !strings.HasPrefix(fieldError.Reason, reason) {
			t.Errorf("%s for %s: first FieldError %+v, want %q", test.to, test.from, fieldError, test.want)
		}
	}
}

// TestTeamMaximum guards against a maximum of 0, or one that is left out, that is taken literally and
// refuses every job, and against a maximum below the guarantee that is refused or not reported.
func TestTeamMaximum(t *testing.T) {
	settings, err := ParseSettings(example(t, `"cpus_max": 64.0`, `"cpus_max": 0.0`, `"cpus_max": 96.0`, `"cpus_max": 9.5, "colour": "red"`))
	if err != nil {
		t.Fatal(err)
	}
	first, second := settings.Teams[0], settings.Teams[1]
	if !math.IsInf(first.MaxCPUs, 1) || !math.IsInf(first.MaxGPUs, 1) || second.MaxCPUs != 9.5 {
		t.Fatalf("%+v", settings)
	}
	if warnings := settings.Warnings(); len(warnings) != 1 || !strings.HasPrefix(warnings[0], "team "+second.Name) {
		t.Errorf("warnings: %q", warnings)
	}
}

// TestNextStoreLimits guards against future limits of the store that must all be given, or that raise a
// current limit.
func TestNextStoreLimits(t *testing.T) {
	settings, err := ParseSettings(example(t))
	if err != nil || settings.Store.Next != nil || settings.Store.Safe().ValueBytes != 8192 {
		t.Errorf("without next: %+v, error %v", settings, err)
	}
	settings, err = ParseSettings(withNext(t, `{"write_rps": 18.0, "value_kb": 2.0, "txn_ops": 100}`))
	if err != nil {
		t.Fatalf("with next: %+v, error %v", settings, err)
	}
	next, safe := settings.Store.Next, settings.Store.Safe()
	if next.RPS != 80 || next.WriteRPS != 18 || safe.ValueBytes != 2048 || safe.TxnOps != 8 || safe.WriteRPS != 25 {
		t.Errorf("next limits %+v, safe limits %+v", next, safe)
	}
	for next, want := range map[string]string{
		`7`:                    "params.state.next: must be an object",
		`{"value_kb": -2}`:     "params.state.next.value_kb: -2 is not between",
		`{"txn_ops": 1}`:       "params.state.next.txn_ops: 1 is not between",
		`{"write_rps": "few"}`: "params.state.next.write_rps: must be a number",
	} {
		if _, err := ParseSettings(withNext(t, next)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("next %s: error %v, want %q in it", next, err, want)
		}
	}
}

// TestSettingsAllFaults guards against errors that name only the first fault.
func TestSettingsAllFaults(t *testing.T) {
	_, err := ParseSettings(example(t, `"shelf-0"`, `1`, `"list_lag_s": 4.0`, `"list_lag_s": "x"`))
	var joined interface{ Unwrap() []error }
	if !errors.As(err, &joined) || len(joined.Unwrap()) != 2 {
		t.Errorf("error %v, want two joined faults", err)
	}
}

// TestReadSettingsNamesFile guards against faults without the path of their file, and against faults that
// are no longer a FieldError after it.
func TestReadSettingsNamesFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.json")
	if err := os.WriteFile(path, example(t, `"shelf-0"`, `1`, `"list_lag_s": 4.0`, `"list_lag_s": "x"`), 0o600); err != nil {
		t.Fatal(err)
	}
	_, err := ReadSettings(path)
	want := path + ": node_name: must be a text that is not empty\n" + path + ": params.cloud.list_lag_s: must be a number"
	var fieldError FieldError
	if err == nil || err.Error() != want || !errors.As(err, &fieldError) {
		t.Errorf("error %v, want the FieldErrors %q", err, want)
	}
}
