package wire

// Writing of messages.

import "strconv"

const contentType = "Content-Type: application/cbor\r\n"

// AppendResponse writes resp to dst.
func AppendResponse(dst []byte, resp Response) []byte {
	dst = append(dst, "HTTP/1.1 "...)
	dst = strconv.AppendInt(dst, int64(resp.Status), 10)
	dst = append(dst, ' ')
	dst = append(dst, reasonPhrase(resp.Status)...)
	dst = append(dst, "\r\n"...)
	if len(resp.Body) > 0 {
		dst = append(dst, contentType...)
	}
	if resp.RetryAfter > 0 {
		dst = append(dst, "Retry-After: "...)
		dst = strconv.AppendInt(dst, int64(resp.RetryAfter), 10)
		dst = append(dst, "\r\n"...)
	}
	if resp.Close {
		dst = append(dst, "Connection: close\r\n"...)
	}
	return appendLengthAndBody(dst, resp.Body)
}

// AppendRequest writes a request with the given target, path and query, to dst.
func AppendRequest(dst []byte, method, target, host string, body []byte) []byte {
	dst = append(dst, method...)
	dst = append(dst, ' ')
	dst = append(dst, target...)
	dst = append(dst, " HTTP/1.1\r\nHost: "...)
	dst = append(dst, host...)
	dst = append(dst, "\r\n"...)
	if len(body) > 0 {
		dst = append(dst, contentType...)
	}
	return appendLengthAndBody(dst, body)
}

// appendLengthAndBody ends the headers, with the length also of an empty body, and writes the body.
func appendLengthAndBody(dst, body []byte) []byte {
	dst = append(dst, "Content-Length: "...)
	dst = strconv.AppendInt(dst, int64(len(body)), 10)
	dst = append(dst, "\r\n\r\n"...)
	return append(dst, body...)
}
