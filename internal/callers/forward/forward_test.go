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

func (testHeaders) Encode(header http.Header, conditions dispatch.RequestMetadata) {
	header.Set("X-Remaining", fmt.Sprint(conditions.Remaining.Milliseconds()))
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
	started := &backend{}
	started.handle.Store(handle)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	started.address = listener.Addr().String()
	server := &http.Server{Handler: http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		io.Copy(io.Discard, request.Body)
		started.runs.Add(1)
		writer.Header().Set(headerID, request.Header.Get(headerID))
		writer.Header().Set("X-Signed", "yes")
		started.handle.Load().(handler)(writer, request)
	})}
	go server.Serve(listener)
	t.Cleanup(func() { server.Close() })
	return started
}

func answers(text string) handler {
	return func(writer http.ResponseWriter, _ *http.Request) { io.WriteString(writer, text) }
}

func status(code int) handler {
	return func(writer http.ResponseWriter, _ *http.Request) { writer.WriteHeader(code) }
}

func aborts(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func hangs(_ http.ResponseWriter, request *http.Request) { <-request.Context().Done() }

func foreign(writer http.ResponseWriter, _ *http.Request) {
	writer.Header().Set(headerID, "another")
	io.WriteString(writer, "not yours")
}

func unsigned(writer http.ResponseWriter, _ *http.Request) {
	writer.Header().Del("X-Signed")
	io.WriteString(writer, "not signed")
}

// newForwarder returns a forwarder whose directory lists the backends as replicas of service s.
func newForwarder(backends ...*backend) *Forwarder {
	table := directory.NewTable("node", "zone", nil, klog.Background())
	table.SetConfiguration(&directory.Configuration{Version: 1}, 1)
	var replicas []*directory.Replica
	for number, started := range backends {
		replicas = append(replicas, &directory.Replica{
			ID: fmt.Sprint("replica-", number), Service: "s", Address: started.address, Slots: 4, State: directory.ReplicaReady,
		})
	}
	table.SetReplicas(replicas, 0)
	return New(Config{
		Directory: table, Dispatcher: dispatch.New(exchange.NewPool(nil), testHeaders{}, nil), Logger: klog.Background(),
		Metrics: NewMetrics(prometheus.NewRegistry()),
	})
}

func route(kind directory.RouteKind) *directory.Route {
	return &directory.Route{Name: "r", Kind: kind, Objective: 20 * time.Second, Attempts: 3, Targets: []directory.Target{{Service: "s", Weight: 1}}}
}

func call(within time.Duration) *dispatch.Call {
	return &dispatch.Call{ID: "one", Method: http.MethodPost, Target: "/x", Host: "h", Header: http.Header{headerID: {"one"}}, Body: []byte("b"), Deadline: time.Now().Add(within)}
}

// Each pair of replica behaviors must give the same outcome whichever replica is tried first.
func TestOutcomes(t *testing.T) {
	for _, test := range []struct {
		name          string
		kind          directory.RouteKind
		first, second handler
		body          string
		// refused and lost are the expected kind of error if body is empty.
		refused, lost bool
		// most is the maximum number of times the request may be sent.
		most int64
	}{
		{name: "safe, one replica breaks off", kind: directory.RouteSafe, first: aborts, second: answers("ok"), body: "ok", most: 2},
		{name: "safe, one answers for another", kind: directory.RouteSafe, first: foreign, second: answers("ok"), body: "ok", most: 2},
		{name: "safe, one does not sign", kind: directory.RouteSafe, first: unsigned, second: answers("ok"), body: "ok", most: 2},
		{name: "safe, one fails", kind: directory.RouteSafe, first: status(500), second: answers("ok"), body: "ok", most: 2},
		{name: "safe, one turns away", kind: directory.RouteSafe, first: status(503), second: answers("ok"), body: "ok", most: 2},
		{name: "safe, all turn away", kind: directory.RouteSafe, first: status(503), second: status(503), refused: true, most: 1 << 20},
		{name: "safe, all break off", kind: directory.RouteSafe, first: aborts, second: aborts, lost: true, most: 3},
		{name: "unsafe, one turns away", kind: directory.RouteUnsafe, first: status(503), second: answers("ok"), body: "ok", most: 2},
		{name: "unsafe, all turn away", kind: directory.RouteUnsafe, first: status(503), second: status(503), refused: true, most: 1 << 20},
		{name: "unsafe, all break off", kind: directory.RouteUnsafe, first: aborts, second: aborts, lost: true, most: 1},
		{name: "unsafe, all answer for another", kind: directory.RouteUnsafe, first: foreign, second: foreign, lost: true, most: 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			for _, order := range [][2]handler{{test.first, test.second}, {test.second, test.first}} {
				one, two := startBackend(t, order[0]), startBackend(t, order[1])
				whole, err := newForwarder(one, two).Do(context.Background(), route(test.kind), call(20*time.Second))
				var refused *RefusedError
				var lost *LostError
				switch {
				case test.body != "" && (err != nil || string(whole.Body) != test.body):
					t.Errorf("ended with %v", err)
				case test.refused && (!errors.As(err, &refused) || refused.RetryAfter <= 0):
					t.Errorf("ended with %v, want a refusal with a time to come back", err)
				case test.lost && !errors.As(err, &lost):
					t.Errorf("ended with %v, want a lost request", err)
				}
				if runs := one.runs.Load() + two.runs.Load(); runs > test.most {
					t.Errorf("sent %d times, at most %d are allowed", runs, test.most)
				}
			}
		})
	}
}

func TestNoReplicaIsRefusedAtOnce(t *testing.T) {
	_, err := newForwarder().Do(context.Background(), route(directory.RouteSafe), call(time.Minute))
	var refused *RefusedError
	if !errors.As(err, &refused) || refused.Reason != ReasonNoReplica {
		t.Errorf("ended with %v", err)
	}
}

func TestSlowRequestGoesToASecondReplica(t *testing.T) {
	for _, order := range [][2]handler{{hangs, answers("ok")}, {answers("ok"), hangs}} {
		one, two := startBackend(t, order[0]), startBackend(t, order[1])
		hedged := route(directory.RouteSafe)
		hedged.Objective = 20 * time.Millisecond
		whole, err := newForwarder(one, two).Do(context.Background(), hedged, call(time.Minute))
		if err != nil || string(whole.Body) != "ok" {
			t.Errorf("ended with %v", err)
		}
	}
}

func TestUnsafeRequestIsNotSentTwiceWhenSlow(t *testing.T) {
	one, two := startBackend(t, hangs), startBackend(t, hangs)
	slow := route(directory.RouteUnsafe)
	slow.Objective = 5 * time.Millisecond
	_, err := newForwarder(one, two).Do(context.Background(), slow, call(150*time.Millisecond))
	var lost *LostError
	if !errors.As(err, &lost) || !lost.Expired {
		t.Errorf("ended with %v, want an expired request", err)
	}
	if runs := one.runs.Load() + two.runs.Load(); runs != 1 {
		t.Errorf("sent %d times", runs)
	}
}

func TestReplicaGetsNoMoreTimeThanIsLeft(t *testing.T) {
	remaining := make(chan string, 1)
	one := startBackend(t, func(_ http.ResponseWriter, request *http.Request) { remaining <- request.Header.Get("X-Remaining") })
	if _, err := newForwarder(one).Do(context.Background(), route(directory.RouteSafe), call(5*time.Second)); err != nil {
		t.Fatal(err)
	}
	var left int
	if _, err := fmt.Sscan(<-remaining, &left); err != nil || left <= 0 || left > 5000 {
		t.Errorf("the replica was given %d ms of 5000, %v", left, err)
	}
}

func TestFailuresAreCounted(t *testing.T) {
	one := startBackend(t, status(500))
	whole, err := newForwarder(one).Do(context.Background(), route(directory.RouteSafe), call(20*time.Second))
	if err != nil || whole.Response.Status != 500 {
		t.Fatalf("ended with %v", err)
	}
	if whole.Failures == 0 || int64(whole.Failures) != one.runs.Load() {
		t.Errorf("%d failures are counted of %d", whole.Failures, one.runs.Load())
	}
}

func TestSplitFollowsTheWeights(t *testing.T) {
	split := targetSplitter{}
	shared := &directory.Route{Name: "r", Targets: []directory.Target{{Service: "a", Weight: 7}, {Service: "b", Weight: 3}, {Service: "c", Weight: 0}}}
	counts := make([]int, 3)
	for range 100 {
		counts[split.next(shared)]++
	}
	if counts[0] != 70 || counts[1] != 30 || counts[2] != 0 {
		t.Errorf("of 100 requests the targets got %v", counts)
	}
}
