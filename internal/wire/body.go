package wire

// Parsing of bodies, framed by Content-Length or by chunked transfer encoding.

import (
	"bytes"
	"strconv"
	"strings"
)

// messageBody is a parsed body.
type messageBody struct {
	content []byte
	size    int // length in bytes with the framing
}

// readBody parses the body at the start of buf. A body of more than limit bytes is refused with
// ErrTooLarge. The error is ErrIncomplete, or wraps ErrMalformed.
func readBody(buf []byte, headers headers, limit int) (messageBody, error) {
	if headers.chunked {
		return readChunks(buf, limit)
	}
	if headers.length == noLength || headers.length == 0 {
		return messageBody{}, nil
	}
	if headers.length > limit {
		return messageBody{}, tooLarge(limit)
	}
	if len(buf) < headers.length {
		return messageBody{}, ErrIncomplete
	}
	return messageBody{buf[:headers.length], headers.length}, nil
}

// readChunks parses and joins the chunks up to the last one, which is empty. Trailer fields are refused
// as malformed: no peer sends them.
func readChunks(buf []byte, limit int) (messageBody, error) {
	var body messageBody
	for {
		header, err := readChunkHeader(buf[body.size:])
		if err != nil {
			return messageBody{}, err
		}
		if len(body.content)+header.dataLength > limit {
			return messageBody{}, tooLarge(limit)
		}
		start := body.size + header.lineLength
		end := start + header.dataLength
		if len(buf) < end+len(lineEnd) {
			return messageBody{}, ErrIncomplete
		}
		if !bytes.HasPrefix(buf[end:], lineEnd) {
			return messageBody{}, malformed("no line end after the data of a chunk")
		}
		body.content = append(body.content, buf[start:end]...)
		body.size = end + len(lineEnd)
		if header.dataLength == 0 {
			return body, nil
		}
	}
}

// chunkHeader is the parsed line before the data of a chunk.
type chunkHeader struct {
	lineLength int // length of the line in bytes, with its line end
	dataLength int // length in bytes of the data that follows
}

// maxChunkLine is the maximum length in bytes of the line before the data of a chunk while its line end
// has not arrived. A longer line is then refused as malformed.
const maxChunkLine = 64

// readChunkHeader parses the line at the start of buf. Chunk extensions, which follow a semicolon, are
// ignored. The error is ErrIncomplete, or wraps ErrMalformed.
func readChunkHeader(buf []byte) (chunkHeader, error) {
	line, _, ok := bytes.Cut(buf, lineEnd)
	if !ok {
		if len(buf) > maxChunkLine {
			return chunkHeader{}, malformed("chunk size line over %d bytes", maxChunkLine)
		}
		return chunkHeader{}, ErrIncomplete
	}
	digits, _, _ := strings.Cut(string(line), ";")
	dataLength, err := strconv.ParseUint(strings.TrimSpace(digits), 16, 31)
	if err != nil {
		return chunkHeader{}, malformed("chunk size %.20q is not a hexadecimal number below 2^31", digits)
	}
	return chunkHeader{len(line) + len(lineEnd), int(dataLength)}, nil
}
