package wire

// Encoding and decoding of CBOR bodies and values.

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// Raw is an encoded CBOR value, which is decoded later or not at all.
type Raw = cbor.RawMessage

// Limits on decoded values. They hold for every peer, since any peer may be hostile.
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
	Error string `cbor:"error"` // human-readable reason of the refusal; some clients match it
}

var errNotMap = errors.New("wire: body is not a map")

// Marshal encodes v as CBOR. It panics if the type of v cannot be encoded, which is a programming error.
func Marshal(v any) []byte {
	data, err := encoder.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("wire: marshal %T: %v", v, err))
	}
	return data
}

// Unmarshal decodes data, which must be exactly one CBOR map, into v. It refuses repeated keys, CBOR
// tags, bytes after the map, and nesting, arrays and maps beyond the limits of this package. The error
// is errNotMap for a value of another kind, or wraps that of the decoder.
func Unmarshal(data []byte, v any) error {
	if !isMap(data) {
		return errNotMap
	}
	return UnmarshalValue(data, v)
}

// UnmarshalValue decodes data, which must be exactly one CBOR value of any kind, into v.
// Otherwise it refuses what Unmarshal refuses. The error wraps that of the decoder.
func UnmarshalValue(data []byte, v any) error {
	if err := decoder.Unmarshal(data, v); err != nil {
		return fmt.Errorf("wire: decode: %w", err)
	}
	return nil
}

// isMap reports whether data begins with a CBOR map. The upper three bits of the first byte of a CBOR
// value are its major type.
func isMap(data []byte) bool {
	const (
		majorTypeShift = 5
		majorTypeMap   = 5
	)
	return len(data) > 0 && data[0]>>majorTypeShift == majorTypeMap
}
