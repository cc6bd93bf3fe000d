package forward

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"k8s.io/klog/v2"

	"github.com/pathtally/pathtally/internal/callers/dispatch"
	"github.com/pathtally/pathtally/internal/callers/exchange"
	"github.com/pathtally/pathtally/internal/replicas/directory"
)

const headerID = "X-Id"

// testHeaders is a minimal header codec that keeps the tests independent of package platform.
type testHeaders struct{}

func (testHeaders) Encode(header http.Header, metadata dispatch.RequestMetadata) {
	header.Set("X-Remaining", fmt.Sprint(metadata.Remaining.Milliseconds()))
}

func (testHeaders) Decode(status int, header http.Header) dispatch.ResponseMetadata {
	return dispatch.ResponseMetadata{RequestID: header.Get(headerID), Signed: header.Get("X-Signed") != "", NotRun: status == http.StatusServiceUnavailable}
}

// backend is a test replica. It counts the requests it runs.
type backend struct {
	address string
	runs    atomic.Int64
	handle  atomic.Value
}

type handler = func(writer http.ResponseWriter, request *http.Request)

func startBackend(t *testing.T, handle handler) *backend {
	t.Helper()
	backend := &backend{}
	backend.handle.Store(handle)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	backend.address = listener.Addr().String()
	server := &http.Server{Handler: http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		io.Copy(io.Discard, request.Body)
		backend.runs.Add(1)
		writer.Header().Set(headerID, request.Header.Get(headerID))
		writer.Header().Set("X-Signed", "yes")
		backend.handle.Load().(handler)(writer, request)
	})}
	go server.Serve(listener)
	t.Cleanup(func() { server.Close() })
	return backend
}

func respondWith(text string) handler {
	return func(writer http.ResponseWriter, _ *http.Request) { io.WriteString(writer, text) }
}

func respondStatus(code int) handler {
	return func(writer http.ResponseWriter, _ *http.Request) { writer.WriteHeader(code) }
}

func abortConnection(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func hang(_ http.ResponseWriter, request *http.Request) { <-request.Context().Done() }

func respondToOther(writer http.ResponseWriter, _ *http.Request) {
	writer.Header().Set(headerID, "another")
	io.WriteString(writer, "not yours")
}

func respondUnsigned(writer http.ResponseWriter, _ *http.Request) {
	writer.Header().Del("X-Signed")
	io.WriteString(writer, "not signed")
}

// newForwarder returns a forwarder whose directory lists the backends as replicas of service s.
func newForwarder(backends ...*backend) *Forwarder {
	table := directory.NewTable("node", "zone", nil, klog.Background())
	table.SetConfiguration(&directory.Configuration{Version: 1}, 1)
	var replicas []*directory.Replica
	for number, backend := range backends {
		replicas = append(replicas, &directory.Replica{
			ID: fmt.Sprint("replica-", number), Service: "s", Address: backend.address, Slots: 4, State: directory.ReplicaReady,
		})
	}
	table.SetReplicas(replicas, 0)
	return New(Config{
		Directory: table, Dispatcher: dispatch.New(exchange.NewPool(nil), testHeaders{}, nil), Logger: klog.Background(),
		Metrics: NewMetrics(prometheus.NewRegistry()),
	})
}

func testRoute(kind directory.RouteKind) *directory.Route {
	return &directory.Route{Name: "r", Kind: kind, Objective: 20 * time.Second, Attempts: 3, Targets: []directory.Target{{Service: "s", Weight: 1}}}
}

func testCall(timeout time.Duration) *dispatch.Call {
	return &dispatch.Call{ID: "one", Method: http.MethodPost, Target: "/x", Host: "h", Header: http.Header{headerID: {"one"}}, Body: []byte("b"), Deadline: time.Now().Add(timeout)}
}

// Each pair of replica behaviors must give the same outcome whichever replica is tried first.
func TestDoOutcomes(t *testing.T) {
	for _, test := range []struct {
		name          string
		kind          directory.RouteKind
		first, second handler
		body          string
		// refused and lost are the expected kind of error if body is empty.
		refused, lost bool
		// maxRuns is the maximum number of times the request may be sent.
		maxRuns int64
	}{
		{name: "safe, one broken", kind: directory.RouteSafe, first: abortConnection, second: respondWith("ok"), body: "ok", maxRuns: 2},
		{name: "safe, one response mismatch", kind: directory.RouteSafe, first: respondToOther, second: respondWith("ok"), body: "ok", maxRuns: 2},
		{name: "safe, one unsigned", kind: directory.RouteSafe, first: respondUnsigned, second: respondWith("ok"), body: "ok", maxRuns: 2},
		{name: "safe, one server error", kind: directory.RouteSafe, first: respondStatus(500), second: respondWith("ok"), body: "ok", maxRuns: 2},
		{name: "safe, one rejects", kind: directory.RouteSafe, first: respondStatus(503), second: respondWith("ok"), body: "ok", maxRuns: 2},
		{name: "safe, all reject", kind: directory.RouteSafe, first: respondStatus(503), second: respondStatus(503), refused: true, maxRuns: 1 << 20},
		{name: "safe, all broken", kind: directory.RouteSafe, first: abortConnection, second: abortConnection, lost: true, maxRuns: 3},
		{name: "unsafe, one rejects", kind: directory.RouteUnsafe, first: respondStatus(503), second: respondWith("ok"), body: "ok", maxRuns: 2},
		{name: "unsafe, all reject", kind: directory.RouteUnsafe, first: respondStatus(503), second: respondStatus(503), refused: true, maxRuns: 1 << 20},
		{name: "unsafe, all broken", kind: directory.RouteUnsafe, first: abortConnection, second: abortConnection, lost: true, maxRuns: 1},
		{name: "unsafe, all response mismatch", kind: directory.RouteUnsafe, first: respondToOther, second: respondToOther, lost: true, maxRuns: 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			for _, order := range [][2]handler{{test.first, test.second}, {test.second, test.first}} {
				one, two := startBackend(t, order[0]), startBackend(t, order[1])
				response, err := newForwarder(one, two).Do(context.Background(), testRoute(test.kind), testCall(20*time.Second))
				var refused *RefusedError
				var lost *LostError
				switch {
				case test.body != "" && (err != nil || string(response.Body) != test.body):
					t.Errorf("error %v or wrong body, want a response", err)
				case test.refused && (!errors.As(err, &refused) || refused.RetryAfter <= 0):
					t.Errorf("error %v, want a refusal with Retry-After", err)
				case test.lost && !errors.As(err, &lost):
					t.Errorf("error %v, want a lost request", err)
				}
				if runs := one.runs.Load() + two.runs.Load(); runs > test.maxRuns {
					t.Errorf("sent %d times, want at most %d", runs, test.maxRuns)
				}
			}
		})
	}
}

func TestDoNoReplica(t *testing.T) {
	_, err := newForwarder().Do(context.Background(), testRoute(directory.RouteSafe), testCall(time.Minute))
	var refused *RefusedError
	if !errors.As(err, &refused) || refused.Reason != ReasonNoReplica {
		t.Errorf("error %v, want refusal because no replica is available", err)
	}
}

func TestDoHedgesSlowRequest(t *testing.T) {
	for _, order := range [][2]handler{{hang, respondWith("ok")}, {respondWith("ok"), hang}} {
		one, two := startBackend(t, order[0]), startBackend(t, order[1])
		hedged := testRoute(directory.RouteSafe)
		hedged.Objective = 20 * time.Millisecond
		response, err := newForwarder(one, two).Do(context.Background(), hedged, testCall(time.Minute))
		if err != nil || string(response.Body) != "ok" {
			t.Errorf("error %v, want the response of the other replica", err)
		}
	}
}

func TestDoUnsafeNotHedged(t *testing.T) {
	one, two := startBackend(t, hang), startBackend(t, hang)
	slow := testRoute(directory.RouteUnsafe)
	slow.Objective = 5 * time.Millisecond
	_, err := newForwarder(one, two).Do(context.Background(), slow, testCall(150*time.Millisecond))
	var lost *LostError
	if !errors.As(err, &lost) || !lost.Expired {
		t.Errorf("error %v, want an expired request", err)
	}
	if runs := one.runs.Load() + two.runs.Load(); runs != 1 {
		t.Errorf("sent %d times, want 1", runs)
	}
}

func TestDoSendsRemainingTime(t *testing.T) {
	remaining := make(chan string, 1)
	one := startBackend(t, func(_ http.ResponseWriter, request *http.Request) { remaining <- request.Header.Get("X-Remaining") })
	if _, err := newForwarder(one).Do(context.Background(), testRoute(directory.RouteSafe), testCall(5*time.Second)); err != nil {
		t.Fatal(err)
	}
	var remainingMs int
	if _, err := fmt.Sscan(<-remaining, &remainingMs); err != nil || remainingMs <= 0 || remainingMs > 5000 {
		t.Errorf("replica got %d ms of 5000 ms, error %v", remainingMs, err)
	}
}

func TestDoCountsServerErrors(t *testing.T) {
	one := startBackend(t, respondStatus(500))
	response, err := newForwarder(one).Do(context.Background(), testRoute(directory.RouteSafe), testCall(20*time.Second))
	if err != nil || response.Response.Status != 500 {
		t.Fatalf("error %v, want a response with status 500", err)
	}
	if response.Failures == 0 || int64(response.Failures) != one.runs.Load() {
		t.Errorf("counted %d failures, want %d", response.Failures, one.runs.Load())
	}
}

func TestTargetSplitterWeights(t *testing.T) {
	splitter := targetSplitter{}
	route := &directory.Route{Name: "r", Targets: []directory.Target{{Service: "a", Weight: 7}, {Service: "b", Weight: 3}, {Service: "c", Weight: 0}}}
	counts := make([]int, 3)
	for range 100 {
		counts[splitter.next(route)]++
	}
	if counts[0] != 70 || counts[1] != 30 || counts[2] != 0 {
		t.Errorf("distribution of 100 requests is %v, want [70 30 0]", counts)
	}
}
