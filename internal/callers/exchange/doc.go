// Package exchange sends single HTTP/1.1 requests to replicas over persistent connections.
//
// Unlike net/http.Client it never retries a request and adds no headers other than Host and
// Content-Length. It closes a connection as soon as data on it may belong to another request, and
// sends no request on a connection that has carried one with the same identity: a late, repeated
// response to the earlier one could not be told from its own.
//
// A Pool owns the connections. Each connection either carries one request or is idle.
// takeIdle (pool.go) selects the idle connection for a request; Response.reusable
// (response.go) and putIdle (idle.go) decide whether a connection is reused or closed. The user
// of the pool sets the limits on connections.
//
// Guarantees: a *NotSentError means that no byte of the request was sent; a response is read
// from the connection that carried its request.
package exchange
