package forward

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pathtally/pathtally/internal/callers/dispatch"
	"github.com/pathtally/pathtally/internal/replicas/directory"
)

const quarantineRemaining = 7 * time.Minute

// countingGuard admits a number of attempts and reports the request as quarantined afterwards.
type countingGuard struct {
	admits    atomic.Int64
	broken    atomic.Int64
	responses atomic.Int64
}

func (g *countingGuard) Admit(context.Context, *dispatch.Call) error {
	if g.admits.Add(-1) >= 0 {
		return nil
	}
	return &dispatch.QuarantinedError{Fingerprint: "f", Remaining: quarantineRemaining}
}

func (g *countingGuard) ObserveBroken(dispatch.Attempt) { g.broken.Add(1) }

func (g *countingGuard) ObserveResponse(*dispatch.Call, int) { g.responses.Add(1) }

func newGuardedForwarder(admits int64, backends ...*backend) (*Forwarder, *countingGuard) {
	forwarder, guard := newForwarder(backends...), &countingGuard{}
	guard.admits.Store(admits)
	forwarder.config.Dispatcher.SetGuard(guard)
	return forwarder, guard
}

// Guards against retrying a quarantined request at other replicas.
func TestRefusesQuarantinedRequest(t *testing.T) {
	for _, kind := range []directory.RouteKind{directory.RouteSafe, directory.RouteUnsafe} {
		one, two := startBackend(t, respondWith("ok")), startBackend(t, respondWith("ok"))
		forwarder, guard := newGuardedForwarder(0, one, two)
		_, err := forwarder.Do(context.Background(), testRoute(kind), testCall(20*time.Second))
		var refused *RefusedError
		if !errors.As(err, &refused) || refused.Reason != ReasonQuarantined || refused.RetryAfter != quarantineRemaining {
			t.Errorf("error %v, want refusal because of the quarantine", err)
		}
		if attempts := -guard.admits.Load(); attempts != 1 || one.runs.Load()+two.runs.Load() != 0 {
			t.Errorf("%d attempts made, want 1 that is not sent", attempts)
		}
	}
}

// Guards against refusing, as not run, a request whose first attempt crashed its replica.
func TestQuarantineAfterCrashIsLost(t *testing.T) {
	one, two := startBackend(t, abortConnection), startBackend(t, abortConnection)
	forwarder, guard := newGuardedForwarder(1, one, two)
	_, err := forwarder.Do(context.Background(), testRoute(directory.RouteSafe), testCall(20*time.Second))
	var lost *LostError
	if !errors.As(err, &lost) || one.runs.Load()+two.runs.Load() != 1 || guard.broken.Load() != 1 {
		t.Errorf("error %v after %d runs, %d of them reported broken", err, one.runs.Load()+two.runs.Load(), guard.broken.Load())
	}
}

// Guards against a quarantined hedge that cancels the first attempt.
func TestQuarantinedHedgeKeepsFirstAttempt(t *testing.T) {
	slow := func(writer http.ResponseWriter, request *http.Request) {
		time.Sleep(100 * time.Millisecond)
		respondWith("ok")(writer, request)
	}
	one, two := startBackend(t, slow), startBackend(t, slow)
	forwarder, guard := newGuardedForwarder(1, one, two)
	hedged := testRoute(directory.RouteSafe)
	hedged.Objective = 20 * time.Millisecond
	response, err := forwarder.Do(context.Background(), hedged, testCall(20*time.Second))
	if err != nil || string(response.Body) != "ok" || guard.responses.Load() != 1 || one.runs.Load()+two.runs.Load() != 1 {
		t.Errorf("error %v after %d runs, want the response of the first attempt", err, one.runs.Load()+two.runs.Load())
	}
}

// Guards against counting an attempt that this node canceled as broken by its replica.
func TestCanceledAttemptIsNotBroken(t *testing.T) {
	one := startBackend(t, hang)
	forwarder, guard := newGuardedForwarder(1<<20, one)
	if _, err := forwarder.Do(context.Background(), testRoute(directory.RouteSafe), testCall(50*time.Millisecond)); err == nil {
		t.Error("got a response from a replica that hangs")
	}
	time.Sleep(50 * time.Millisecond)
	if guard.broken.Load() != 0 {
		t.Errorf("%d attempts reported broken, want 0", guard.broken.Load())
	}
}
