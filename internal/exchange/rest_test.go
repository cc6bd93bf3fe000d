package exchange

import (
	"bufio"
	"context"
	"io"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// answerSlowly answers the requests on a connection after a while and says that it
// keeps the connection for ten seconds.
func answerSlowly(connection net.Conn) {
	requests := bufio.NewReader(connection)
	for {
		if _, _, err := receive(requests); err != nil {
			return
		}
		time.Sleep(100 * time.Millisecond)
		io.WriteString(connection, "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=10\r\nContent-Length: 2\r\n\r\nok")
	}
}

// The runs of a step come all at once and then for seconds one by one. Those that come
// one by one keep the connections for the next step.
func TestFewRequestsKeepAllConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pool := NewPool(func(context.Context, string) (net.Conn, error) {
			near, far := net.Pipe()
			go answerSlowly(far)
			return near, nil
		})
		const atOnce = 3
		for range 5 {
			var step sync.WaitGroup
			for range atOnce {
				step.Go(func() {
					if body, err := exchangeOnce(pool, "replica", post("x")); body != "ok" || err != nil {
						t.Errorf("%q, %v", body, err)
					}
				})
			}
			step.Wait()
			for range 5 {
				time.Sleep(2 * time.Second)
				if _, err := exchangeOnce(pool, "replica", post("x")); err != nil {
					t.Error(err)
				}
			}
		}
		if dialed := pool.Counts.Dialed.Load(); dialed != atOnce {
			t.Errorf("%d connections were opened, want %d", dialed, atOnce)
		}
		pool.SetBounds(map[string]Bound{})
	})
}
