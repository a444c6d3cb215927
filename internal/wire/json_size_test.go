package wire

import (
	"encoding/json"
	"math"
	"math/rand/v2"
	"strings"
	"testing"
)

// Guards against requests that the receiver refuses as too large: it counts their JSON form, which must
// never be longer than JSONSize says.
func TestJSONSize(t *testing.T) {
	type attempt struct {
		_       struct{} `cbor:",toarray"`
		Task    int
		Number  uint64
		Machine string
	}
	for _, test := range []struct {
		value any
		json  string // as on the pages of the protocol
	}{
		{nil, `null`},
		{true, `true`},
		{[]bool{false}, `[false]`},
		{0, `0`},
		{23, `23`},
		{1000, `1000`},
		{uint64(math.MaxUint64), `18446744073709551615`},
		{-1, `-1`},
		{-1000, `-1000`},
		{"", `""`},
		{strings.Repeat("x", 300), `"` + strings.Repeat("x", 300) + `"`},
		{[]int{}, `[]`},
		{[]int{1, 22, 333}, `[1,22,333]`},
		{map[string]int{"done": 3}, `{"done":3}`},
		{[]attempt{{Task: 579, Number: 3<<24 + 579, Machine: "vm-000231"}}, `[[579,50332227,"vm-000231"]]`},
		{map[string]any{"a": []any{map[string]any{}, nil}}, `{"a":[{},null]}`},
	} {
		if got := JSONSize(Marshal(test.value)); got != len(test.json) {
			t.Errorf("JSONSize of %s is %d, want %d", test.json, got, len(test.json))
		}
	}
	for _, test := range []struct {
		value any
		least int // size of the longest form that an encoder may choose
	}{
		{8.0, len(`8.0`)},
		{float32(0.5), len(`0.5`)},
		{1e9, len(`1000000000.0`)},
		{12.384729384729384, len(`12.384729384729384`)},
		{1e-7, len(`1e-07`)},
		{"a\"\n<é", len(`"a\"\n\u003c\u00e9"`)},
	} {
		if got := JSONSize(Marshal(test.value)); got < test.least || got > test.least+20 {
			t.Errorf("JSONSize of %v is %d, want %d and at most 20 more", test.value, got, test.least)
		}
	}
}

// Guards against sizes that are right only for the values of the table above: random values of all kinds
// are never longer in JSON than JSONSize says, and exactly as long if they hold only integers and plain
// text.
func TestJSONSizeOfRandomValues(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for i := range 500 {
		plain := i%2 == 0
		value := randomValue(random, plain, 3)
		text, err := json.Marshal(value)
		if err != nil {
			t.Fatal(err)
		}
		got := JSONSize(Marshal(value))
		if got < len(text) || plain && got != len(text) {
			t.Fatalf("JSONSize is %d for the %d bytes of %s", got, len(text), text)
		}
	}
}

// randomValue returns a value with at most the given depth of nesting, and without fractional numbers and
// unusual characters if plain is set.
func randomValue(random *rand.Rand, plain bool, depth int) any {
	kinds := 5
	if depth == 0 {
		kinds = 3
	}
	switch random.IntN(kinds) {
	case 0:
		if !plain {
			return math.Ldexp(random.Float64()-0.5, random.IntN(60)-30)
		}
		return random.Uint64() >> random.IntN(64)
	case 1:
		if !plain {
			return string(rune(random.IntN(0xd800))) + `"\<&` + "\x01"
		}
		return strings.Repeat("vm-0", random.IntN(100))
	case 2:
		return []any{nil, true, false, -int64(random.IntN(1 << 40))}[random.IntN(4)]
	case 3:
		list := []any{}
		for range random.IntN(12) {
			list = append(list, randomValue(random, plain, depth-1))
		}
		return list
	}
	object := map[string]any{}
	for range random.IntN(12) {
		object[strings.Repeat("k", random.IntN(300))] = randomValue(random, plain, depth-1)
	}
	return object
}

// Guards against a size that is computed for ever or beyond the data: truncated data and data of an
// impossible length end the count.
func TestJSONSizeOfTruncatedData(t *testing.T) {
	whole := Marshal(map[string]any{"a": []any{"text", 1 << 40, true}})
	for length := range whole {
		if got := JSONSize(whole[:length]); got > JSONSize(whole) {
			t.Errorf("first %d bytes: %d, more than the whole", length, got)
		}
	}
	const arrayOfLongestLength = "\x9b\xff\xff\xff\xff\xff\xff\xff\xff"
	if got := JSONSize([]byte(arrayOfLongestLength)); got != len(`[]`) {
		t.Errorf("array without its elements: %d, want %d", got, len(`[]`))
	}
}

func BenchmarkJSONSize(b *testing.B) {
	type attempt struct {
		_                   struct{} `cbor:",toarray"`
		Task                int
		Number              uint64
		Machine             string
		Incarnation, Unused uint64
	}
	var live []attempt
	for task := range 580 {
		live = append(live, attempt{Task: task, Number: 3<<24 + uint64(task), Machine: "vm-000231", Incarnation: 1})
	}
	data := Marshal(live)
	b.SetBytes(int64(len(data)))
	for b.Loop() {
		JSONSize(data)
	}
}
