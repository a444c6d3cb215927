// Package wire carries messages between processes: an HTTP/1.1 parser and writer for servers and
// clients, a server on an evio event loop, a client that keeps connections, and CBOR bodies.
package wire
