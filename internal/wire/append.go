package wire

// Serialisation of messages.

import "strconv"

const contentType = "Content-Type: application/cbor\r\n"

// AppendResponse appends resp as an HTTP/1.1 message to dst and returns the extended slice.
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

// AppendRequest appends an HTTP/1.1 request to dst and returns the extended slice. The target consists
// of the path and the query.
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

// appendLengthAndBody appends the Content-Length header, also for an empty body, the blank line that
// ends the headers, and the body.
func appendLengthAndBody(dst, body []byte) []byte {
	dst = append(dst, "Content-Length: "...)
	dst = strconv.AppendInt(dst, int64(len(body)), 10)
	dst = append(dst, "\r\n\r\n"...)
	return append(dst, body...)
}
