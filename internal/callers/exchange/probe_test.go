package exchange

import (
	"bufio"
	"context"
	"net"
	"testing"
)

func TestProbe(t *testing.T) {
	alive := startServer(t, func(connection net.Conn, requests *bufio.Reader) {
		request, _, err := readRequest(requests)
		if err == nil && request.Method == "POST" {
			connection.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"))
		}
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	dead := listener.Addr().String()
	listener.Close()
	pool := NewPool(nil)
	if liveness := pool.Probe(t.Context(), alive); liveness != Alive {
		t.Errorf("listening peer is %s", liveness)
	}
	if liveness := pool.Probe(t.Context(), dead); liveness != Dead {
		t.Errorf("peer that refuses connections is %s", liveness)
	}
	cancelled, cancel := context.WithCancel(t.Context())
	cancel()
	if liveness := pool.Probe(cancelled, alive); liveness != Unknown {
		t.Errorf("peer of a canceled probe is %s", liveness)
	}
	// The next request reuses the connection of the first probe.
	if body, err := roundTripBody(pool, alive, post("x")); err != nil || body != "ok" || pool.Counts.Dialed.Load() != 1 {
		t.Errorf("got %q, error %v, over %d connections", body, err, pool.Counts.Dialed.Load())
	}
	if open := pool.Counts.Open.Load(); open < 0 || open > 1 {
		t.Errorf("%d connections counted as open", open)
	}
}
