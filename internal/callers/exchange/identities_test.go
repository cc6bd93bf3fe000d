package exchange

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"testing"
)

// sendIdentified sends a request with an identity and returns the complete response body.
func sendIdentified(pool *Pool, address, identity string) (string, error) {
	request := post("x")
	request.Identity = identity
	return roundTripBody(pool, address, request)
}

// respondToAll responds to all requests of a connection.
func respondToAll(connection net.Conn, requests *bufio.Reader) {
	for {
		if _, _, err := readRequest(requests); err != nil {
			return
		}
		io.WriteString(connection, okResponse)
	}
}

// Guards against taking a repeated response to the first send of a request for the response to its
// second send.
func TestConnectionCarriesEachIdentityOnce(t *testing.T) {
	address := startServer(t, func(connection net.Conn, requests *bufio.Reader) {
		readRequest(requests)
		io.WriteString(connection, okResponse)
		readRequest(requests)
		io.WriteString(connection, okResponse)
	}, func(connection net.Conn, requests *bufio.Reader) {
		for range 2 {
			if _, _, err := readRequest(requests); err != nil {
				return
			}
			io.WriteString(connection, "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nsecond")
		}
	})
	pool := NewPool(nil)
	for _, want := range []string{"ok", "second"} {
		if body, err := sendIdentified(pool, address, "a"); body != want || err != nil {
			t.Fatalf("body %q, error %v, want %q", body, err, want)
		}
	}
	// Another request may use either connection.
	if _, err := sendIdentified(pool, address, "b"); err != nil {
		t.Fatal(err)
	}
	if dialed := pool.Counts.Dialed.Load(); dialed != 2 {
		t.Errorf("%d connections opened, want 2", dialed)
	}
}

// At the limit on connections, an idle one gives way to the new one.
func TestIdleConnectionIsReplacedAtTheLimit(t *testing.T) {
	address := startServer(t, respondToAll, respondToAll)
	pool := NewPool(nil)
	pool.SetLimits(map[string]ConnectionLimits{address: {Open: 1, Idle: 1}})
	for range 2 {
		if body, err := sendIdentified(pool, address, "a"); body != "ok" || err != nil {
			t.Fatalf("body %q, error %v", body, err)
		}
	}
	if open := pool.Counts.Open.Load(); open != 1 {
		t.Errorf("%d connections open, want 1", open)
	}
	// A connection that carries a request is not replaced.
	response, err := pool.Send(context.Background(), address, post("x"), false)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Discard()
	if _, err := sendIdentified(pool, address, "a"); !errors.Is(err, ErrTooManyConnections) {
		t.Errorf("error %v, want ErrTooManyConnections", err)
	}
}

// The record of a connection's identities does not grow without limit.
func TestConnectionIsClosedAfterMaxIdentities(t *testing.T) {
	address := startServer(t, respondToAll, respondToAll)
	pool := NewPool(nil)
	for number := range maxIdentities + 1 {
		if _, err := sendIdentified(pool, address, fmt.Sprint(number)); err != nil {
			t.Fatal(err)
		}
	}
	if dialed := pool.Counts.Dialed.Load(); dialed != 2 {
		t.Errorf("%d connections opened, want 2", dialed)
	}
}
