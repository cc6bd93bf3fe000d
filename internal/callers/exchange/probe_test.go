package exchange

import (
	"bufio"
	"context"
	"net"
	"testing"
)

func TestProbeTellsAnEndedPeerFromALivingOne(t *testing.T) {
	alive := script(t, func(connection net.Conn, requests *bufio.Reader) {
		request, _, err := receive(requests)
		if err == nil && request.Method == "POST" {
			connection.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"))
		}
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ended := listener.Addr().String()
	listener.Close()
	pool := NewPool(nil)
	if found := pool.Probe(t.Context(), alive); found != Alive {
		t.Errorf("a peer that listens is %s", found)
	}
	if found := pool.Probe(t.Context(), ended); found != Dead {
		t.Errorf("a peer that has ended is %s", found)
	}
	cancelled, cancel := context.WithCancel(t.Context())
	cancel()
	if found := pool.Probe(cancelled, alive); found != Unknown {
		t.Errorf("a peer without an answer is %s", found)
	}
	// The next request reuses the connection of the first probe.
	if body, err := exchangeOnce(pool, alive, post("x")); err != nil || body != "ok" || pool.Counts.Dialed.Load() != 1 {
		t.Errorf("got %q, %v over %d connections", body, err, pool.Counts.Dialed.Load())
	}
	if open := pool.Counts.Open.Load(); open < 0 || open > 1 {
		t.Errorf("%d connections are counted as open", open)
	}
}
