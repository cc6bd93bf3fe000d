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

const quarantineLeft = 7 * time.Minute

// countingGuard admits a number of attempts and reports the request as quarantined afterwards.
type countingGuard struct {
	admits atomic.Int64
	broken atomic.Int64
	served atomic.Int64
}

func (g *countingGuard) Admit(context.Context, *dispatch.Call) error {
	if g.admits.Add(-1) >= 0 {
		return nil
	}
	return &dispatch.QuarantinedError{Fingerprint: "f", Remaining: quarantineLeft}
}

func (g *countingGuard) ObserveBroken(dispatch.Attempt) { g.broken.Add(1) }

func (g *countingGuard) ObserveResponse(*dispatch.Call, int) { g.served.Add(1) }

func newGuardedForwarder(admits int64, backends ...*backend) (*Forwarder, *countingGuard) {
	forwarder, guard := newForwarder(backends...), &countingGuard{}
	guard.admits.Store(admits)
	forwarder.config.Dispatcher.SetGuard(guard)
	return forwarder, guard
}

// Guards against retrying a quarantined request at other replicas.
func TestARequestInQuarantineIsRefusedAtOnce(t *testing.T) {
	for _, kind := range []directory.RouteKind{directory.RouteSafe, directory.RouteUnsafe} {
		one, two := startBackend(t, answers("ok")), startBackend(t, answers("ok"))
		forwarder, guard := newGuardedForwarder(0, one, two)
		_, err := forwarder.Do(context.Background(), route(kind), call(20*time.Second))
		var refused *RefusedError
		if !errors.As(err, &refused) || refused.Reason != ReasonQuarantined || refused.RetryAfter != quarantineLeft {
			t.Errorf("ended with %v", err)
		}
		if asked := -guard.admits.Load(); asked != 1 || one.runs.Load()+two.runs.Load() != 0 {
			t.Errorf("%d attempts were made", asked)
		}
	}
}

// Guards against refusing, as not run, a request whose first attempt crashed its replica.
func TestARequestHeldAfterItsFirstAttemptIsLost(t *testing.T) {
	one, two := startBackend(t, aborts), startBackend(t, aborts)
	forwarder, guard := newGuardedForwarder(1, one, two)
	_, err := forwarder.Do(context.Background(), route(directory.RouteSafe), call(20*time.Second))
	var lost *LostError
	if !errors.As(err, &lost) || one.runs.Load()+two.runs.Load() != 1 || guard.broken.Load() != 1 {
		t.Errorf("ended with %v after %d runs, %d of them told", err, one.runs.Load()+two.runs.Load(), guard.broken.Load())
	}
}

// Guards against a quarantined hedge that cancels the first attempt.
func TestAHedgeThatIsHeldLeavesTheFirstAttempt(t *testing.T) {
	slow := func(writer http.ResponseWriter, request *http.Request) {
		time.Sleep(100 * time.Millisecond)
		answers("ok")(writer, request)
	}
	one, two := startBackend(t, slow), startBackend(t, slow)
	forwarder, guard := newGuardedForwarder(1, one, two)
	hedged := route(directory.RouteSafe)
	hedged.Objective = 20 * time.Millisecond
	whole, err := forwarder.Do(context.Background(), hedged, call(20*time.Second))
	if err != nil || string(whole.Body) != "ok" || guard.served.Load() != 1 || one.runs.Load()+two.runs.Load() != 1 {
		t.Errorf("ended with %v after %d runs", err, one.runs.Load()+two.runs.Load())
	}
}

// Guards against counting an attempt that this node canceled as broken by its replica.
func TestAbandonedRunsAreNoBreaks(t *testing.T) {
	one := startBackend(t, hangs)
	forwarder, guard := newGuardedForwarder(1<<20, one)
	if _, err := forwarder.Do(context.Background(), route(directory.RouteSafe), call(50*time.Millisecond)); err == nil {
		t.Error("a replica that hangs has answered")
	}
	time.Sleep(50 * time.Millisecond)
	if guard.broken.Load() != 0 {
		t.Errorf("%d breaks are told", guard.broken.Load())
	}
}
