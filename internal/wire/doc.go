// Package wire moves messages: an HTTP/1.1 parser and writer for servers and
// clients, a server front on evio, a client with kept connections, and CBOR
// bodies.
package wire
