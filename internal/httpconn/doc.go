// Package httpconn reads the heads of HTTP/1.1 responses for all clients. It rejects heads that are
// invalid although the libraries that parse them accept them.
//
// ReadHead is for clients that parse responses with net/http. Dial opens connections for clients of
// fasthttp, on which each head passes ReadHead before fasthttp reads it.
package httpconn
