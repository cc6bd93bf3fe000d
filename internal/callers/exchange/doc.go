// Package exchange sends single HTTP/1.1 requests to replicas over kept
// connections. Unlike an ordinary HTTP client it never repeats a request,
// changes nothing on the way, tells a request that was not sent from one that
// may have run, and gives a connection up at the first sign that what comes
// on it may belong to another request.
package exchange
