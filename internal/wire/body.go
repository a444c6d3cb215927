package wire

// Bodies, by length or in chunks.

import (
	"bytes"
	"strconv"
	"strings"
)

// messageBody is a body with its framing.
type messageBody struct {
	content []byte
	size    int // bytes with the framing
}

// readBody reads the body at the start of buf. The error is ErrIncomplete, or wraps ErrMalformed.
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

// readChunks joins the chunks up to the last, which is empty. Trailers are not understood: no peer
// uses them.
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
			return messageBody{}, malformed("chunk end")
		}
		body.content = append(body.content, buf[start:end]...)
		body.size = end + len(lineEnd)
		if header.dataLength == 0 {
			return body, nil
		}
	}
}

// chunkHeader is the line before a chunk.
type chunkHeader struct {
	lineLength int // bytes of the line, with its end
	dataLength int // bytes of the chunk that it announces
}

// maxChunkLine bounds the bytes that are searched for the end of the line.
const maxChunkLine = 64

// readChunkHeader reads the line at the start of buf; extensions behind a semicolon are ignored.
func readChunkHeader(buf []byte) (chunkHeader, error) {
	line, _, ok := bytes.Cut(buf, lineEnd)
	if !ok {
		if len(buf) > maxChunkLine {
			return chunkHeader{}, malformed("chunk size line")
		}
		return chunkHeader{}, ErrIncomplete
	}
	digits, _, _ := strings.Cut(string(line), ";")
	dataLength, err := strconv.ParseUint(strings.TrimSpace(digits), 16, 31)
	if err != nil {
		return chunkHeader{}, malformed("chunk size")
	}
	return chunkHeader{len(line) + len(lineEnd), int(dataLength)}, nil
}
