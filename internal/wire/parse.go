package wire

// Parsing of whole messages.

import (
	"bytes"
	"strconv"
	"strings"
)

const (
	version11     = "HTTP/1.1"
	version10     = "HTTP/1.0" // the connection ends after each message
	versionPrefix = "HTTP/1."
)

var (
	lineEnd = []byte("\r\n")
	headEnd = []byte("\r\n\r\n")
)

// ParseRequest parses one request at the start of buf and returns it with its length in bytes. The body
// is a part of buf, unless it is chunked and therefore copied. The error is ErrIncomplete, or wraps
// ErrMalformed.
func ParseRequest(buf []byte) (Request, int, error) {
	head, err := splitHead(buf)
	if err != nil {
		return Request{}, 0, err
	}
	req, err := parseRequestLine(head.startLine)
	if err != nil {
		return Request{}, 0, err
	}
	headers, err := parseHeaders(head.headers)
	if err != nil {
		return Request{}, 0, err
	}
	body, err := readBody(buf[head.size:], headers, MaxBody)
	if err != nil {
		return Request{}, 0, err
	}
	req.Close = req.Close || headers.close
	req.Body = body.content
	return req, head.size + body.size, nil
}

// parseRequestLine parses a method, a target and a version, separated by single spaces. The error wraps
// ErrMalformed.
func parseRequestLine(line string) (Request, error) {
	parts := strings.Split(line, " ")
	if len(parts) != 3 || parts[0] == "" || !strings.HasPrefix(parts[1], "/") {
		return Request{}, malformed("request line %.80q is not a method, a path and a version", line)
	}
	method, target, version := parts[0], parts[1], parts[2]
	if version != version11 && version != version10 {
		return Request{}, malformed("version %.20q is not %s or %s", version, version11, version10)
	}
	for _, letter := range method {
		if letter < 'A' || letter > 'Z' {
			return Request{}, malformed("method %.20q is not in capital letters", method)
		}
	}
	req := Request{Method: method, Close: version == version10}
	req.Path, req.Query, _ = strings.Cut(target, "?")
	return req, nil
}

// ParseResponse parses one response at the start of buf, with a body of at most limit bytes, and returns
// it with its length in bytes. The body is a part of buf, unless it is chunked and therefore copied. The
// error is ErrIncomplete, or wraps ErrMalformed.
func ParseResponse(buf []byte, limit int) (Response, int, error) {
	head, err := splitHead(buf)
	if err != nil {
		return Response{}, 0, err
	}
	resp, err := parseStatusLine(head.startLine)
	if err != nil {
		return Response{}, 0, err
	}
	headers, err := parseHeaders(head.headers)
	if err != nil {
		return Response{}, 0, err
	}
	resp.Close = resp.Close || headers.close
	resp.RetryAfter = headers.retryAfter
	if resp.Status == StatusNoContent || resp.Status == StatusNotModified {
		return resp, head.size, nil
	}
	body, err := readBody(buf[head.size:], headers, limit)
	if err != nil {
		return Response{}, 0, err
	}
	resp.Body = body.content
	return resp, head.size + body.size, nil
}

// parseStatusLine parses a version and a status code of three digits. The reason phrase is ignored. The
// error wraps ErrMalformed.
func parseStatusLine(line string) (Response, error) {
	version, rest, _ := strings.Cut(line, " ")
	code, _, _ := strings.Cut(rest, " ")
	status, err := strconv.Atoi(code)
	validStatus := err == nil && len(code) == 3 && status >= 100
	if !strings.HasPrefix(version, versionPrefix) || !validStatus {
		return Response{}, malformed("status line %.80q is not a version and a status code", line)
	}
	return Response{Status: status, Close: version == version10}, nil
}

// messageHead is the part of a message before its body.
type messageHead struct {
	startLine string
	headers   []byte // header lines, with line ends between them
	size      int    // length in bytes of both, with the blank line after them
}

// splitHead splits the part of buf before the blank line into the start line and the headers. The error
// is ErrIncomplete if there is no blank line yet, or wraps ErrMalformed.
func splitHead(buf []byte) (messageHead, error) {
	end := bytes.Index(buf, headEnd)
	if end > maxHead || end < 0 && len(buf) > maxHead {
		return messageHead{}, malformed("head over %d bytes", maxHead)
	}
	if end < 0 {
		return messageHead{}, ErrIncomplete
	}
	line, headers, _ := bytes.Cut(buf[:end], lineEnd)
	for _, c := range line {
		if isControl(c) {
			return messageHead{}, malformed("control byte %#x in the start line", c)
		}
	}
	return messageHead{string(line), headers, end + len(headEnd)}, nil
}

func isControl(c byte) bool {
	const del = 0x7f
	return c < ' ' || c == del
}
