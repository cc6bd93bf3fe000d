package forward

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pathtally/pathtally/internal/callers/admission"
	"github.com/pathtally/pathtally/internal/callers/dispatch"
	"github.com/pathtally/pathtally/internal/callers/exchange"
	"github.com/pathtally/pathtally/internal/replicas/directory"
)

// singleSlot returns a handler that rejects requests while one runs, and counts those it ran by
// id.
func singleSlot(work time.Duration, ran *sync.Map) handler {
	busy := make(chan struct{}, 1)
	return func(writer http.ResponseWriter, request *http.Request) {
		select {
		case busy <- struct{}{}:
		default:
			writer.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		count, _ := ran.LoadOrStore(request.Header.Get(headerID), &atomic.Int64{})
		count.(*atomic.Int64).Add(1)
		time.Sleep(work)
		<-busy
		io.WriteString(writer, "ok")
	}
}

// Guards against a refused request that has run, an unsafe request that runs twice, and late
// refusals, in a flood at four times the capacity of two replicas.
func TestAdmissionInFlood(t *testing.T) {
	const work, objective = 10 * time.Millisecond, 200 * time.Millisecond
	var ran sync.Map
	forwarder := newForwarder(startBackend(t, singleSlot(work, &ran)), startBackend(t, singleSlot(work, &ran)))
	route := testRoute(directory.RouteUnsafe)
	route.Objective = objective
	var callers sync.WaitGroup
	var served, refusedCalls, slow atomic.Int64
	for number := range 400 {
		time.Sleep(work / 8)
		callers.Go(func() {
			call := testCall(1500 * time.Millisecond)
			call.ID = fmt.Sprint("flood-", number)
			call.Header = http.Header{headerID: {call.ID}}
			start := time.Now()
			_, err := forwarder.Do(t.Context(), route, call)
			count, hasRun := ran.Load(call.ID)
			var refused *RefusedError
			switch {
			case err == nil:
				served.Add(1)
				if count.(*atomic.Int64).Load() != 1 {
					t.Errorf("%s ran %d times", call.ID, count.(*atomic.Int64).Load())
				}
			case errors.As(err, &refused):
				refusedCalls.Add(1)
				if hasRun || refused.RetryAfter <= 0 || refused.RetryAfter > 500*time.Millisecond {
					t.Errorf("%s refused, has run: %v, Retry-After %v", call.ID, hasRun, refused.RetryAfter)
				}
				if time.Since(start) > objective/2 {
					slow.Add(1)
				}
			default:
				t.Errorf("%s: %v", call.ID, err)
			}
		})
	}
	callers.Wait()
	if served.Load() < 40 || refusedCalls.Load() == 0 || slow.Load() > 20 {
		t.Errorf("%d served, %d refused, %d of them late", served.Load(), refusedCalls.Load(), slow.Load())
	}
}

// newOverloaded returns a forwarder whose only replica is limited.
func newOverloaded(t *testing.T, handle handler) (*Forwarder, *backend) {
	t.Helper()
	replica := startBackend(t, handle)
	forwarder := newForwarder(replica)
	forwarder.admissions.of("s").rejected(admission.Answer{Replica: "replica-0", Objective: time.Second, Took: 250 * time.Millisecond})
	return forwarder, replica
}

// Guards against a request that keeps its place, or is sent, after its caller has disconnected.
func TestDisconnectEndsWait(t *testing.T) {
	forwarder, replica := newOverloaded(t, respondWith("ok"))
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(20*time.Millisecond, cancel)
	start := time.Now()
	_, err := forwarder.Do(ctx, testRoute(directory.RouteSafe), testCall(10*time.Second))
	if err == nil || time.Since(start) > time.Second {
		t.Errorf("error %v after %v", err, time.Since(start))
	}
	service := forwarder.admissions.of("s")
	service.mutex.Lock()
	defer service.mutex.Unlock()
	if waiting := service.queue.Waiting(); waiting != 0 || replica.runs.Load() != 0 {
		t.Errorf("%d requests wait, %d were sent", waiting, replica.runs.Load())
	}
}

// Guards against a request that is sent after its caller has disconnected because the queue admitted
// it at the same time.
func TestDisconnectPrecedesVerdict(t *testing.T) {
	forwarder, _ := newOverloaded(t, respondWith("ok"))
	other := startBackend(t, respondWith("ok"))
	forwarder.config.Directory.SetReplicas([]*directory.Replica{{ID: "other", Service: "s", Address: other.address, Slots: 4, State: directory.ReplicaReady}}, 0)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	for range 30 {
		_, err := forwarder.Do(ctx, testRoute(directory.RouteSafe), testCall(10*time.Second))
		var refused *RefusedError
		if !errors.As(err, &refused) {
			t.Fatalf("error %v, want a refusal: the request was not sent", err)
		}
	}
}

// Guards against limits that delay or refuse calls of scorers and requests without an objective.
func TestAdmissionLeavesOthersAlone(t *testing.T) {
	for name, change := range map[string]func(*directory.Route, *dispatch.Call){
		"scorer":       func(_ *directory.Route, call *dispatch.Call) { call.Purpose = exchange.PurposeScorer },
		"no objective": func(route *directory.Route, _ *dispatch.Call) { route.Objective = 0 },
	} {
		forwarder, _ := newOverloaded(t, respondWith("ok"))
		route, call := testRoute(directory.RouteSafe), testCall(10*time.Second)
		change(route, call)
		start := time.Now()
		if _, err := forwarder.Do(t.Context(), route, call); err != nil || time.Since(start) > 200*time.Millisecond {
			t.Errorf("%s: error %v after %v", name, err, time.Since(start))
		}
	}
}

// Guards against a second attempt for a slow request while the service is overloaded.
func TestNoHedgeWhileOverloaded(t *testing.T) {
	slow := func(writer http.ResponseWriter, _ *http.Request) { time.Sleep(100 * time.Millisecond) }
	one, two := startBackend(t, slow), startBackend(t, slow)
	forwarder := newForwarder(one, two)
	forwarder.admissions.of("s").rejected(admission.Answer{Replica: "replica-0", Objective: time.Second, Took: time.Second})
	route := testRoute(directory.RouteSafe)
	route.Objective = 60 * time.Millisecond
	if _, err := forwarder.Do(t.Context(), route, testCall(time.Second)); err != nil || one.runs.Load()+two.runs.Load() != 1 {
		t.Errorf("error %v after %d attempts", err, one.runs.Load()+two.runs.Load())
	}
}

// Guards against a refusal by one overloaded service of a route while another could serve the
// request.
func TestOverloadedServiceYieldsToOtherTarget(t *testing.T) {
	one, two := startBackend(t, respondWith("one")), startBackend(t, respondWith("two"))
	forwarder := newForwarder()
	forwarder.config.Directory.SetReplicas([]*directory.Replica{
		{ID: "one", Service: "s", Address: one.address, Slots: 4, State: directory.ReplicaReady},
		{ID: "two", Service: "other", Address: two.address, Slots: 4, State: directory.ReplicaReady},
	}, 0)
	forwarder.admissions.of("s").rejected(admission.Answer{Replica: "one", Objective: time.Second, Took: time.Second})
	route := testRoute(directory.RouteUnsafe)
	route.Objective = 100 * time.Millisecond
	route.Targets = append(route.Targets, directory.Target{Service: "other"})
	response, err := forwarder.Do(t.Context(), route, testCall(time.Second))
	if err != nil || string(response.Body) != "two" {
		t.Errorf("error %v, want the response of the other service", err)
	}
}

// Guards against a retry of a request that may have run being refused as not run.
func TestRetryNotAdmittedIsNotRefused(t *testing.T) {
	forwarder, replica := newOverloaded(t, abortConnection)
	service := forwarder.admissions.of("s")
	for service.retries.Load().Spend() {
	}
	_, err := forwarder.Do(t.Context(), testRoute(directory.RouteSafe), testCall(5*time.Second))
	var lost *LostError
	if !errors.As(err, &lost) || replica.runs.Load() != 1 {
		t.Errorf("error %v after %d attempts, want a lost request after one", err, replica.runs.Load())
	}
}
