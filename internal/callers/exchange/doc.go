// Package exchange sends single HTTP/1.1 requests to replicas over kept connections.
//
// Unlike an ordinary HTTP client it never repeats a request and changes nothing on the way.
// It closes a connection at the first sign that what comes on it may belong to another
// request.
//
// A Pool owns the connections. Each carries one request, or is idle. Which idle one a
// request gets, and when one is kept or closed, is decided in takeIdle (pool.go),
// Response.reusable (response.go) and keep (idle.go). Who uses the pool sets its bounds.
//
// It guarantees that a *NotSentError means that no byte of the request was sent, and that
// an answer is read on the connection of its own request.
package exchange
