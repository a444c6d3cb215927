package wire

// The codec: CBOR bodies and values.

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// Raw is a CBOR value that is decoded later or not at all.
type Raw = cbor.RawMessage

// Bounds on what is decoded from any peer, however hostile.
const (
	maxNestedLevels  = 16
	maxArrayElements = 1 << 17 // above job.MaxTasks
	maxMapPairs      = 1 << 16
)

var (
	encoder = mustEncoder(cbor.EncOptions{Sort: cbor.SortNone})
	decoder = mustDecoder(cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		MaxNestedLevels:  maxNestedLevels,
		MaxArrayElements: maxArrayElements,
		MaxMapPairs:      maxMapPairs,
		TagsMd:           cbor.TagsForbidden,
	})
)

func mustEncoder(options cbor.EncOptions) cbor.EncMode {
	mode, err := options.EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

func mustDecoder(options cbor.DecOptions) cbor.DecMode {
	mode, err := options.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// Problem is the body of a response that refuses a request.
type Problem struct {
	Error string `cbor:"error"` // why, for people
}

var errNotMap = errors.New("wire: body is not a map")

// Marshal encodes v as CBOR. It panics on a type that cannot be encoded, which is a mistake in this
// program.
func Marshal(v any) []byte {
	data, err := encoder.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("wire: marshal %T: %v", v, err))
	}
	return data
}

// Unmarshal decodes the CBOR map in data strictly: no repeated keys, bounded depth, nothing behind
// the value, nothing but a map at the top. The error wraps that of the decoder.
func Unmarshal(data []byte, v any) error {
	if !isMap(data) {
		return errNotMap
	}
	return UnmarshalValue(data, v)
}

// UnmarshalValue decodes one CBOR value of any kind with the same strictness.
func UnmarshalValue(data []byte, v any) error {
	if err := decoder.Unmarshal(data, v); err != nil {
		return fmt.Errorf("wire: decode: %w", err)
	}
	return nil
}

// isMap reports whether the first byte of a CBOR value, whose upper three bits are its major type,
// says that it is a map.
func isMap(data []byte) bool {
	const (
		majorTypeShift = 5
		majorTypeMap   = 5
	)
	return len(data) > 0 && data[0]>>majorTypeShift == majorTypeMap
}
