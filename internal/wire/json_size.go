package wire

// Sizes in JSON. The protocol sends CBOR, but counts its limits on sizes in the JSON form of a value, which
// is often half as long again.

import (
	"encoding/binary"
	"encoding/json"
	"math"
	"unicode/utf8"
)

// JSONSize returns the size of the JSON form of an encoded value, in bytes. The form has no white space.
// The result is exact for integers, Booleans, null and plain ASCII text, and an upper bound for other text
// and for fractional numbers, which JSON can express in several ways. The data must be one value that
// Marshal has returned; for any other data the result has no meaning.
func JSONSize(data []byte) int {
	s := jsonSizer{rest: data}
	s.addValue()
	return s.size
}

// jsonSizer adds up the JSON sizes of the values at the start of rest.
type jsonSizer struct {
	rest []byte // encoded values that have not been counted
	size int    // bytes of JSON of those that have
}

// Major types of CBOR values, the upper three bits of their first byte (RFC 8949, section 3.1).
const (
	cborUnsigned = iota
	cborNegative
	cborBytes
	cborText
	cborArray
	cborMap
	cborTag
	cborSimple
)

// Additional information of a CBOR value, the lower five bits of its first byte (RFC 8949, section 3).
// Lower values are the argument itself.
const (
	cborArgument1 = 24 // an argument of one byte follows
	cborArgument8 = 27 // an argument of eight bytes follows, the longest
)

// Arguments of simple CBOR values, and additional information of floating-point numbers.
const (
	cborFalse   = 20
	cborTrue    = 21
	cborFloat32 = 26
	cborFloat64 = 27
)

// addValue counts one value and removes it from rest.
func (s *jsonSizer) addValue() {
	if len(s.rest) == 0 {
		return
	}
	major, info := s.rest[0]>>5, s.rest[0]&31
	argument := s.takeArgument(info)
	switch major {
	case cborUnsigned:
		s.size += decimalDigits(argument)
	case cborNegative: // the number is -1 minus the argument
		s.size += len("-") + max(decimalDigits(argument), decimalDigits(argument+1))
	case cborBytes, cborText:
		s.size += quotedSize(s.take(argument))
	case cborArray:
		s.addElements(argument, 1)
	case cborMap:
		s.addElements(argument, 2)
	case cborTag:
		s.addValue()
	case cborSimple:
		s.size += simpleSize(info, argument)
	}
}

// takeArgument removes the first byte of a value and its argument from rest, and returns the argument.
func (s *jsonSizer) takeArgument(info byte) uint64 {
	s.rest = s.rest[1:]
	if info < cborArgument1 || info > cborArgument8 {
		return uint64(info)
	}
	var padded [8]byte
	encoded := s.take(1 << (info - cborArgument1))
	copy(padded[len(padded)-len(encoded):], encoded)
	return binary.BigEndian.Uint64(padded[:])
}

// take removes the first n bytes from rest and returns them, or all of them if there are fewer.
func (s *jsonSizer) take(n uint64) []byte {
	n = min(n, uint64(len(s.rest)))
	taken := s.rest[:n]
	s.rest = s.rest[n:]
	return taken
}

// addElements counts an array or a map with its brackets and separators. Each element has the given number
// of values: an element of a map is a key and a value.
func (s *jsonSizer) addElements(count uint64, values int) {
	s.size += len("[]")
	for i := uint64(0); i < count && len(s.rest) > 0; i++ {
		if i > 0 {
			s.size += len(",")
		}
		for value := range values {
			if value > 0 {
				s.size += len(":")
			}
			s.addValue()
		}
	}
}

// quotedSize returns the size of a text in JSON, with every character escaped that an encoder may escape.
func quotedSize(text []byte) int {
	size := len(`""`)
	for _, c := range text {
		switch {
		case plainBytes[c]:
			size++
		case c >= utf8.RuneSelf: // at least two bytes, as one escape, or four, as two of them
			size += len(`\u0000`) / 2
		default:
			size += len(`\u0000`)
		}
	}
	return size
}

// plainBytes tells which bytes of a text stand for themselves in every JSON form: printable ASCII without
// the characters that JSON escapes, and without those that some encoders escape for HTML.
var plainBytes = func() (plain [256]bool) {
	for c := byte(' '); c <= '~'; c++ {
		plain[c] = true
	}
	for _, c := range []byte(`"\<>&`) {
		plain[c] = false
	}
	return plain
}()

// simpleSize returns the size of a Boolean, null or floating-point number.
func simpleSize(info byte, argument uint64) int {
	switch info {
	case cborFalse:
		return len("false")
	case cborTrue:
		return len("true")
	case cborFloat32:
		return numberSize(float64(math.Float32frombits(uint32(argument))))
	case cborFloat64:
		return numberSize(math.Float64frombits(argument))
	}
	return len("null")
}

// numberSize returns the size of a number that is written with a fraction, such as 4.0.
func numberSize(number float64) int {
	text, err := json.Marshal(number)
	if err != nil {
		return len("null") // not a number, or infinite
	}
	return len(text) + len(".0")
}

// decimalDigits returns the number of digits of n in decimal notation.
func decimalDigits(n uint64) int {
	digits := 1
	for ; n >= 10; n /= 10 {
		digits++
	}
	return digits
}
