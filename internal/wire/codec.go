package wire

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// Raw is a CBOR value that is decoded later or not at all.
type Raw = cbor.RawMessage

var (
	encoder = mustEncoder()
	decoder = mustDecoder(cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		MaxNestedLevels:  16,
		MaxArrayElements: 1 << 17,
		MaxMapPairs:      1 << 16,
		TagsMd:           cbor.TagsForbidden,
	})
)

func mustEncoder() cbor.EncMode {
	m, err := cbor.EncOptions{Sort: cbor.SortNone}.EncMode()
	if err != nil {
		panic(err)
	}
	return m
}

func mustDecoder(o cbor.DecOptions) cbor.DecMode {
	m, err := o.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}

// Problem is the body of an answer that refuses a request.
type Problem struct {
	Error string `cbor:"error"`
}

// Marshal encodes v as CBOR. It panics on a type that cannot be encoded, which
// only a mistake in this program can bring about.
func Marshal(v any) []byte {
	b, err := encoder.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("wire: marshal %T: %v", v, err))
	}
	return b
}

// Unmarshal decodes the CBOR map in data strictly: no repeated keys, bounded
// depth, nothing behind the value, nothing but a map at the top.
func Unmarshal(data []byte, v any) error {
	if len(data) == 0 || data[0]>>5 != 5 {
		return fmt.Errorf("wire: body is not a map")
	}
	if err := decoder.Unmarshal(data, v); err != nil {
		return fmt.Errorf("wire: decode: %w", err)
	}
	return nil
}

// UnmarshalValue decodes one CBOR value of any kind with the same strictness.
func UnmarshalValue(data []byte, v any) error {
	if err := decoder.Unmarshal(data, v); err != nil {
		return fmt.Errorf("wire: decode: %w", err)
	}
	return nil
}
