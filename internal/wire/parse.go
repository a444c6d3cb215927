package wire

import (
	"bytes"
	"strconv"
	"strings"
)

// ParseRequest reads one request from the start of buf and returns how many
// bytes it took. The body is not copied.
func ParseRequest(buf []byte) (Request, int, error) {
	start, head, n, err := splitHead(buf)
	if err != nil {
		return Request{}, 0, err
	}
	parts := strings.Split(start, " ")
	if len(parts) != 3 || parts[0] == "" || !strings.HasPrefix(parts[1], "/") {
		return Request{}, 0, malformed("request line")
	}
	if parts[2] != "HTTP/1.1" && parts[2] != "HTTP/1.0" {
		return Request{}, 0, malformed("version")
	}
	for _, r := range parts[0] {
		if r < 'A' || r > 'Z' {
			return Request{}, 0, malformed("method")
		}
	}
	f, err := parseFields(head)
	if err != nil {
		return Request{}, 0, err
	}
	req := Request{Method: parts[0], Close: f.close || parts[2] == "HTTP/1.0"}
	req.Path, req.Query, _ = strings.Cut(parts[1], "?")
	body, m, err := readBody(buf[n:], f, MaxBody)
	if err != nil {
		return Request{}, 0, err
	}
	req.Body = body
	return req, n + m, nil
}

// ParseResponse reads one response from the start of buf, with a body of at
// most limit bytes.
func ParseResponse(buf []byte, limit int) (Response, int, error) {
	start, head, n, err := splitHead(buf)
	if err != nil {
		return Response{}, 0, err
	}
	version, rest, _ := strings.Cut(start, " ")
	code, _, _ := strings.Cut(rest, " ")
	status, err := strconv.Atoi(code)
	if !strings.HasPrefix(version, "HTTP/1.") || err != nil || len(code) != 3 || status < 100 {
		return Response{}, 0, malformed("status line")
	}
	f, err := parseFields(head)
	if err != nil {
		return Response{}, 0, err
	}
	resp := Response{Status: status, Close: f.close || version == "HTTP/1.0"}
	if f.retryAfter != "" {
		if s, err := strconv.Atoi(f.retryAfter); err == nil && s > 0 {
			resp.RetryAfter = s
		}
	}
	if status == StatusNoContent || status == StatusNotModified {
		return resp, n, nil
	}
	body, m, err := readBody(buf[n:], f, limit)
	if err != nil {
		return Response{}, 0, err
	}
	resp.Body = body
	return resp, n + m, nil
}

// splitHead finds the blank line and returns the start line, the header lines
// and the length of both with the blank line.
func splitHead(buf []byte) (start string, head []byte, n int, err error) {
	end := bytes.Index(buf, []byte("\r\n\r\n"))
	if end < 0 {
		if len(buf) > maxHead {
			return "", nil, 0, malformed("head over %d bytes", maxHead)
		}
		return "", nil, 0, ErrIncomplete
	}
	if end > maxHead {
		return "", nil, 0, malformed("head over %d bytes", maxHead)
	}
	line, rest, _ := bytes.Cut(buf[:end], []byte("\r\n"))
	for _, c := range line {
		if c < ' ' || c == 0x7f {
			return "", nil, 0, malformed("control byte in the first line")
		}
	}
	return string(line), rest, end + 4, nil
}
