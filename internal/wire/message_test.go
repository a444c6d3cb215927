package wire

import (
	"bytes"
	"errors"
	"testing"
)

// TestRequestArrivesInPieces guards against a request that is refused or cut short because TCP delivers
// it in pieces: every proper prefix of it must be reported as incomplete.
func TestRequestArrivesInPieces(t *testing.T) {
	msg := AppendRequest(nil, "POST", "/v1/jobs?x=1", "h", []byte("body"))
	for n := range msg {
		if _, _, err := ParseRequest(msg[:n]); !errors.Is(err, ErrIncomplete) {
			t.Fatalf("first %d bytes: error %v, want ErrIncomplete", n, err)
		}
	}
	req, n, err := ParseRequest(append(msg, "GET"...))
	if err != nil || n != len(msg) || req.Method != "POST" || req.Path != "/v1/jobs" || req.Query != "x=1" || string(req.Body) != "body" {
		t.Fatalf("got %+v, %d, %v", req, n, err)
	}
}

func TestRequestMalformed(t *testing.T) {
	for _, s := range []string{
		"GET /\r\n\r\n",
		"GET / HTTP/2\r\n\r\n",
		"get / HTTP/1.1\r\n\r\n",
		"GET x HTTP/1.1\r\n\r\n",
		"GET / HTTP/1.1\r\nno colon\r\n\r\n",
		"GET / HTTP/1.1\r\nContent-Length: -1\r\n\r\n",
		"GET / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nxx",
		"GET / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"GET / HTTP/1.1\r\nContent-Length: 65537\r\n\r\n",
		"GET / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
		"GET / HTTP/1.1\r\nContent-Length : 1\r\n\r\nx",
		string(bytes.Repeat([]byte("x"), maxHead+1)),
	} {
		if _, _, err := ParseRequest([]byte(s)); !errors.Is(err, ErrMalformed) {
			t.Errorf("%.60q: error %v, want one that wraps ErrMalformed", s, err)
		}
	}
}

func TestChunkedBody(t *testing.T) {
	msg := "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2;x=y\r\nde\r\n0\r\n\r\n"
	req, n, err := ParseRequest([]byte(msg))
	if err != nil || n != len(msg) || string(req.Body) != "abcde" {
		t.Fatalf("got %q, %d, %v", req.Body, n, err)
	}
}

func FuzzParseRequest(f *testing.F) {
	f.Add([]byte("GET / HTTP/1.1\r\n\r\n"))
	f.Add([]byte("POST /v1/jobs HTTP/1.1\r\nContent-Length: 2\r\n\r\nhi"))
	f.Add([]byte("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		req, n, err := ParseRequest(data)
		if err != nil {
			return
		}
		if n > len(data) || len(req.Body) > MaxBody {
			t.Fatalf("took %d of %d bytes, body %d", n, len(data), len(req.Body))
		}
		again, m, err := ParseRequest(data[:n])
		if err != nil || m != n || !bytes.Equal(again.Body, req.Body) {
			t.Fatalf("parsed differently without the bytes after the message: %v", err)
		}
	})
}
