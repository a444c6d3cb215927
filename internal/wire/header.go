package wire

import (
	"bytes"
	"strconv"
	"strings"
)

// fields holds the few headers that decide how a message is framed.
type fields struct {
	length     int // -1: none given
	chunked    bool
	close      bool
	retryAfter string
}

func parseFields(head []byte) (fields, error) {
	f := fields{length: -1}
	for len(head) > 0 {
		var line []byte
		line, head, _ = bytes.Cut(head, []byte("\r\n"))
		name, value, ok := bytes.Cut(line, []byte(":"))
		if !ok || len(name) == 0 || bytes.ContainsAny(name, " \t\r\n") || bytes.ContainsAny(value, "\r\n\x00") {
			return f, malformed("header line")
		}
		v := string(bytes.TrimSpace(value))
		switch strings.ToLower(string(name)) {
		case "content-length":
			n, err := strconv.ParseUint(v, 10, 31)
			if err != nil || (f.length >= 0 && f.length != int(n)) {
				return f, malformed("content-length")
			}
			f.length = int(n)
		case "transfer-encoding":
			if !strings.EqualFold(v, "chunked") || f.chunked {
				return f, malformed("transfer-encoding")
			}
			f.chunked = true
		case "connection":
			for _, t := range strings.Split(v, ",") {
				if strings.EqualFold(strings.TrimSpace(t), "close") {
					f.close = true
				}
			}
		case "retry-after":
			f.retryAfter = v
		}
	}
	// Two framings in one message are how requests are smuggled.
	if f.chunked && f.length >= 0 {
		return f, malformed("both content-length and transfer-encoding")
	}
	return f, nil
}
