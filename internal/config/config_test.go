package config

import (
	"errors"
	"math"
	"os"
	"reflect"
	"strings"
	"testing"
	"time"
)

func TestSettings(t *testing.T) {
	data, err := os.ReadFile("testdata/settings.json")
	if err != nil {
		t.Fatal(err)
	}
	s, err := ParseSettings(data)
	if err != nil {
		t.Fatal(err)
	}
	if s.Node != "shelf-0" || s.Store.ValueBytes != 8192 || s.Workers.Lease != 26*time.Second || s.Teams[0].MaxCPUs != 64 {
		t.Errorf("%+v", s)
	}
	for _, x := range []struct{ from, to, want string }{
		{`"shelf-0"`, `""`, "node_name: must be a text"},
		{`10.0.0.1:8080`, `localhost:8080`, `listen: "localhost:8080" must be an IPv4 address`},
		{`"rps": 80.0`, `"rps": -1`, "params.state.rps: -1 is not between"},
		{`"rps": 80.0`, `"rps": "many"`, "params.state.rps: must be a number"},
		{`"workers": {`, `"others": {`, "params.workers: must be an object"},
		{`"cpus": 24.0`, `"cpus": null`, "params.teams[0].cpus: must be a number"},
	} {
		bad := strings.Replace(string(data), x.from, x.to, 1)
		if _, err := ParseSettings([]byte(bad)); err == nil || !strings.Contains(err.Error(), x.want) {
			t.Errorf("%s for %s: %v", x.to, x.from, err)
		}
	}
	// A limit of 0, or left out, is none; one below the guarantee is taken, and named.
	odd := strings.NewReplacer(`"cpus_max": 64.0`, `"cpus_max": 0.0`, `"cpus_max": 96.0`, `"cpus_max": 9.5, "colour": "red"`).Replace(string(data))
	s, err = ParseSettings([]byte(odd))
	if err != nil || !math.IsInf(s.Teams[0].MaxCPUs, 1) || !math.IsInf(s.Teams[0].MaxGPUs, 1) || s.Teams[1].MaxCPUs != 9.5 {
		t.Fatalf("%+v, %v", s, err)
	}
	if notes := s.Warnings(); len(notes) != 1 || !strings.HasPrefix(notes[0], "team "+s.Teams[1].Name) {
		t.Errorf("oddities: %q", notes)
	}
	// Limits to come may be left out, name some only, and never raise what is allowed now.
	if s.Store.Next != nil || s.Store.Safe().ValueBytes != 8192 || s.Workers.GangWait != 45*time.Second || s.Workers.GangNotice != 4*time.Second {
		t.Errorf("%+v, %+v", s.Store, s.Workers)
	}
	with := func(next string) (*Settings, error) {
		return ParseSettings([]byte(strings.Replace(string(data), `"rps": 80.0`, `"next": `+next+`, "rps": 80.0`, 1)))
	}
	s, err = with(`{"write_rps": 18.0, "value_kb": 2.0, "txn_ops": 100}`)
	if err != nil {
		t.Fatalf("%+v, %v", s, err)
	}
	if n, safe := s.Store.Next, s.Store.Safe(); n.RPS != 80 || n.WriteRPS != 18 || safe.ValueBytes != 2048 || safe.TxnOps != 8 || safe.WriteRPS != 25 {
		t.Errorf("%+v, %+v", n, safe)
	}
	for next, want := range map[string]string{`7`: "params.state.next: must be an object", `{"value_kb": -2}`: "params.state.next.value_kb: -2 is not between",
		`{"txn_ops": 1}`: "params.state.next.txn_ops: 1 is not between", `{"write_rps": "few"}`: "params.state.next.write_rps: must be a number"} {
		if _, err := with(next); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v", next, err)
		}
	}
	// Every fault is named, not only the first.
	bad := strings.NewReplacer(`"shelf-0"`, `1`, `"list_lag_s": 4.0`, `"list_lag_s": "x"`).Replace(string(data))
	_, err = ParseSettings([]byte(bad))
	var joined interface{ Unwrap() []error }
	if !errors.As(err, &joined) || len(joined.Unwrap()) != 2 {
		t.Errorf("faults: %v", err)
	}
}

func TestOperator(t *testing.T) {
	o, err := ParseOperator([]byte("; ours\n(index (smoothing-s 8))\n(rental\n  (idle-return-s 30) (reserve-share 0.3))\n"))
	want := DefaultOperator()
	want.Smoothing, want.IdleReturn, want.Reserve = 8*time.Second, 30*time.Second, 0.3
	if err != nil || !reflect.DeepEqual(o, want) {
		t.Errorf("%+v, %v", o, err)
	}
	for in, want := range map[string]string{
		"(index (smoothing-s 8)":                  "line 1: list is not closed",
		"(index smoothing-s 8)":                   "line 1: index: must hold entries",
		"(index (smoothing 8))":                   "line 1: index.smoothing: no such setting",
		"\n(indices (smoothing-s 8))":             "line 2: indices: no such group",
		"(index (smoothing-s x))":                 `line 1: index.smoothing-s: "x" is not a number`,
		"(index (smoothing-s 0))":                 "line 1: index.smoothing-s: 0 is not between",
		"(index (smoothing-s 8) (smoothing-s 8))": "line 1: index.smoothing-s: set twice",
		"(fleet (silent-s 30) (abandon-s 20))":    "fleet.abandon-s: must not be below",
		"\"x\"":                                   "line 1: unexpected",
		strings.Repeat("(", 100):                  "nested deeper",
	} {
		if _, err := ParseOperator([]byte(in)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v", in, err)
		}
	}
}

func FuzzParseSexp(f *testing.F) {
	f.Add([]byte("(index (smoothing-s 4)) ; comment\n"))
	f.Add([]byte("((("))
	f.Add([]byte("a ) b"))
	f.Fuzz(func(t *testing.T, data []byte) {
		nodes, err := parseSexp(data)
		if err != nil {
			return
		}
		atoms := 0
		var count func([]node)
		count = func(ns []node) {
			for _, n := range ns {
				if n.isList {
					count(n.list)
				} else if atoms++; n.atom == "" {
					t.Fatal("empty atom")
				}
			}
		}
		count(nodes)
		if atoms > len(data) {
			t.Fatalf("%d atoms in %d bytes", atoms, len(data))
		}
	})
}
