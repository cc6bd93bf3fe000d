package forward

import (
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pathtally/pathtally/internal/replicas/directory"
)

// respondEndlessly returns a handler that sends a body without end until the connection is closed,
// and counts the bytes.
func respondEndlessly(sent *atomic.Int64) handler {
	text := strings.Repeat("x", 1<<20)
	return func(writer http.ResponseWriter, _ *http.Request) {
		for {
			n, err := io.WriteString(writer, text)
			if sent.Add(int64(n)); err != nil {
				return
			}
		}
	}
}

// Guards against bodies without end, of which several together exceeded the memory of a node.
func TestEndlessBodiesShareOneBudget(t *testing.T) {
	const (
		budget  = 8 << 20
		callers = 6
		// maxSent is the budget and, for each caller, a buffer that needs no budget and what the
		// buffers of the sockets hold.
		maxSent = budget + callers*(maxPreallocatedBytes+8<<20)
	)
	var sent atomic.Int64
	forwarder := newForwarder(startBackend(t, respondEndlessly(&sent)))
	forwarder.config.MaxTotalResponseBytes = budget
	forwarder = New(forwarder.config)
	var running sync.WaitGroup
	for range callers {
		running.Go(func() {
			if response, err := forwarder.Do(t.Context(), testRoute(directory.RouteUnsafe), testCall(10*time.Second)); err == nil {
				t.Errorf("endless body: status %d with %d bytes", response.Response.Status, len(response.Body))
			}
		})
	}
	running.Wait()
	if sent.Load() > maxSent {
		t.Errorf("%d bytes were sent, want at most %d", sent.Load(), maxSent)
	}
	if used := forwarder.responseBytes.Used(); used != 0 {
		t.Errorf("%d bytes still reserved", used)
	}
	large := strings.Repeat("y", budget/4)
	forwarder = newForwarder(startBackend(t, respondWith(large)))
	forwarder.config.MaxTotalResponseBytes = budget
	if response, err := New(forwarder.config).Do(t.Context(), testRoute(directory.RouteUnsafe), testCall(10*time.Second)); err != nil || string(response.Body) != large {
		t.Errorf("a large body within the budget: error %v", err)
	}
}
