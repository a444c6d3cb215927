package wire

import (
	"bytes"
	"strconv"
	"strings"
)

func readBody(buf []byte, f fields, limit int) ([]byte, int, error) {
	if f.chunked {
		return readChunks(buf, limit)
	}
	if f.length <= 0 {
		return nil, 0, nil
	}
	if f.length > limit {
		return nil, 0, tooLarge(limit)
	}
	if len(buf) < f.length {
		return nil, 0, ErrIncomplete
	}
	return buf[:f.length], f.length, nil
}

func readChunks(buf []byte, limit int) ([]byte, int, error) {
	var body []byte
	pos := 0
	for {
		line, _, ok := bytes.Cut(buf[pos:], []byte("\r\n"))
		if !ok {
			if len(buf)-pos > 64 {
				return nil, 0, malformed("chunk size line")
			}
			return nil, 0, ErrIncomplete
		}
		size, _, _ := strings.Cut(string(line), ";")
		n, err := strconv.ParseUint(strings.TrimSpace(size), 16, 31)
		if err != nil {
			return nil, 0, malformed("chunk size")
		}
		pos += len(line) + 2
		if len(body)+int(n) > limit {
			return nil, 0, tooLarge(limit)
		}
		if len(buf) < pos+int(n)+2 {
			return nil, 0, ErrIncomplete
		}
		body = append(body, buf[pos:pos+int(n)]...)
		pos += int(n)
		// Trailers are not used by any peer; the last chunk ends the message.
		if string(buf[pos:pos+2]) != "\r\n" {
			return nil, 0, malformed("chunk end")
		}
		pos += 2
		if n == 0 {
			return body, pos, nil
		}
	}
}
