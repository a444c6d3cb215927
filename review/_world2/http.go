package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"time"

	"github.com/fxamacker/cbor/v2"
)

func readBody(r *http.Request) []byte {
	body, _ := io.ReadAll(io.LimitReader(r.Body, 8<<20))
	return body
}

// reply answers a request with a CBOR body.
func reply(w http.ResponseWriter, status int, body any) {
	var data []byte
	if body != nil {
		data, _ = cbor.Marshal(body)
	}
	w.WriteHeader(status)
	w.Write(data)
}

// drop gives no answer: it waits until the client gives up, at most 10 s, and closes the connection.
func drop(w http.ResponseWriter, r *http.Request) {
	select {
	case <-r.Context().Done():
	case <-time.After(10 * time.Second):
	}
	panic(http.ErrAbortHandler)
}

// serve listens on a free loopback port and returns its address and a function that stops it.
func serve(h http.Handler) (addr string, stop func()) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	must(err)
	srv := &http.Server{Handler: h, ErrorLog: discard}
	go srv.Serve(l)
	return l.Addr().String(), func() { srv.Close() }
}

// freePort returns a free loopback address, outside the range from which clients' ports are taken.
func freePort() string {
	for {
		addr := fmt.Sprintf("127.0.0.1:%d", 12000+rand.Intn(18000))
		if l, err := net.Listen("tcp4", addr); err == nil {
			l.Close()
			return addr
		}
	}
}

var client = &http.Client{
	Transport:     &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 15 * time.Second},
	CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
}

// call makes a request and decodes the answer. Status 0 stands for no answer.
func call(method, addr, path string, body any, timeout time.Duration) (status int, answer map[string]any, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	var data []byte
	if body != nil {
		if data, err = cbor.Marshal(body); err != nil {
			return 0, nil, err
		}
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, bytes.NewReader(data))
	if err != nil {
		return 0, nil, err
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	data, err = io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil, err
	}
	if len(data) > 0 {
		if cbor.Unmarshal(data, &answer) != nil {
			return resp.StatusCode, nil, errors.New("body is not CBOR")
		}
	}
	return resp.StatusCode, answer, nil
}
