package config

import "testing"

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
		count = func(nodes []node) {
			for _, node := range nodes {
				if node.isList {
					count(node.list)
				} else if atoms++; node.atom == "" {
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
