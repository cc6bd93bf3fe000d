package exchange

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// maxEndlessBytes is how much of an endless head a server may send before the connection is closed:
// maxHeadBytes and what the buffers of two sockets hold.
const maxEndlessBytes = 16 << 20

// Guards against heads without end, which were read into memory until the request's deadline.
func TestEndlessHeadIsCutOff(t *testing.T) {
	for name, endless := range map[string]struct{ start, repeated string }{
		"status line":             {"HTTP/1.1 200 ", strings.Repeat("x", 4096)},
		"no line":                 {"", strings.Repeat("\x00", 4096)},
		"header value":            {"HTTP/1.1 200 OK\r\nName: ", strings.Repeat("x", 4096)},
		"headers":                 {"HTTP/1.1 200 OK\r\n", strings.Repeat("Name: value\r\n", 300)},
		"continued header":        {"HTTP/1.1 200 OK\r\nName: value\r\n", strings.Repeat(" more\r\n", 500)},
		"informational responses": {"", strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 150)},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var sent atomic.Int64
			address := startServer(t, func(connection net.Conn, requests *bufio.Reader) {
				if _, _, err := readRequest(requests); err != nil {
					return
				}
				io.WriteString(connection, endless.start)
				for {
					n, err := io.WriteString(connection, endless.repeated)
					if sent.Add(int64(n)); err != nil {
						return
					}
				}
			})
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			pool := NewPool(nil)
			_, err := pool.Send(ctx, address, post("hello"), false)
			var broken *BrokenError
			if !errors.As(err, &broken) || ctx.Err() != nil {
				t.Errorf("error %v after %d bytes, want a *BrokenError before the deadline", err, sent.Load())
			}
			if sent.Load() > maxEndlessBytes {
				t.Errorf("%d bytes were sent before the connection was closed", sent.Load())
			}
			if open := pool.Counts.Open.Load(); open != 0 {
				t.Errorf("%d connections left open", open)
			}
		})
	}
}

// A head within the limit must not be affected, and the body is not limited.
func TestLargeHeadAndBodyAreRead(t *testing.T) {
	value, text := strings.Repeat("v", maxHeadBytes/2), strings.Repeat("b", 4*maxHeadBytes)
	address := startServer(t, func(connection net.Conn, requests *bufio.Reader) {
		for range 2 {
			if _, _, err := readRequest(requests); err != nil {
				return
			}
			io.WriteString(connection, "HTTP/1.1 200 OK\r\nName: "+value+"\r\nTransfer-Encoding: chunked\r\n\r\n40000\r\n"+text+"\r\n0\r\n\r\n")
		}
	})
	pool := NewPool(nil)
	for range 2 {
		if body, err := roundTripBody(pool, address, post("hello")); body != text || err != nil {
			t.Fatalf("body of %d bytes, error %v", len(body), err)
		}
	}
	if reused := pool.Counts.Reused.Load(); reused != 1 {
		t.Errorf("connection reused %d times, want 1", reused)
	}
}
