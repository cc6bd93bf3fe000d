package forward

import (
	"context"
	"net/http"
	"time"

	"github.com/pathtally/pathtally/internal/callers/dispatch"
	"github.com/pathtally/pathtally/internal/replicas/directory"
)

// maxRefusals bounds how often, in attempts, one request is turned away by
// replicas before it is refused.
const maxRefusals = 12

// result is how one attempt ended.
type result struct {
	replica string
	whole   *Whole
	err     error
}

// run is one request on its way. It belongs to one goroutine; attempts report
// through the channel.
type run struct {
	forwarder  *Forwarder
	route      *directory.Route
	call       *dispatch.Call
	repeatable bool
	objective  time.Duration
	started    time.Time
	first      int

	results chan result
	// asked are the replicas that have been sent the request.
	asked []string
	// sent are the attempts for the meter.
	sent sendings
	// counted is the number of attempts that may have run, and refusals that
	// of those that the replica promises not to have run.
	counted  int
	refusals int
	open     int
	// mayHaveRun is set once an attempt ended without a promise.
	mayHaveRun bool
	lastErr    error
	// unpicked is why no replica at all would do at the last pick, nil if some did or
	// if those asked before were left out.
	unpicked error
	// failure is a whole answer of a replica that says it failed, and failures
	// the number of those.
	failure  *Whole
	failures int
}

// do runs attempts until one succeeds or there is nothing left to try.
func (r *run) do(ctx context.Context) (*Whole, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if !r.launch(ctx) {
		return nil, refusal(ReasonNoReplica, r.lastErr, r.unpicked)
	}
	hedge := time.NewTimer(r.hedgeDelay())
	defer hedge.Stop()
	for {
		select {
		case <-ctx.Done():
			return r.expired(ctx)
		case <-hedge.C:
			if r.repeatable && r.counted < r.route.Attempts {
				r.launch(ctx)
			}
		case ended := <-r.results:
			r.open--
			if whole, done := r.take(ended); done {
				return whole, nil
			}
			if r.open > 0 {
				continue
			}
			if !r.again(ctx) {
				return r.giveUp(ctx)
			}
		}
	}
}

// hedgeDelay is how long the first attempt is waited for alone.
func (r *run) hedgeDelay() time.Duration {
	return time.Duration(hedgeShare * float64(r.objective))
}

// take judges how an attempt ended and tells whether its answer is final.
func (r *run) take(ended result) (*Whole, bool) {
	if ended.err == nil {
		r.sent.ended(ended.replica, true, false)
		failed := ended.whole.Answer.Status >= http.StatusInternalServerError
		if ended.whole.Answer.Status == http.StatusInternalServerError {
			r.failures++
		}
		ended.whole.Failures, ended.whole.Refusals = r.failures, r.refusals
		if failed && r.repeatable && (r.counted < r.route.Attempts || r.open > 0) {
			r.failure, r.mayHaveRun = ended.whole, true
			return nil, false
		}
		return ended.whole, true
	}
	r.lastErr = ended.err
	if dispatch.MayHaveRun(ended.err) {
		r.mayHaveRun = true
	} else {
		// It did not run there, so the attempt does not count.
		r.counted--
		r.refusals++
		r.sent.ended(ended.replica, false, true)
	}
	r.forwarder.config.Logger.V(1).Info("attempt failed", "request", r.call.ID, "replica", ended.replica, "error", ended.err.Error())
	return nil, false
}

// again starts a further attempt if one is allowed.
func (r *run) again(ctx context.Context) bool {
	if r.mayHaveRun && !r.repeatable || isQuarantined(r.lastErr) {
		return false
	}
	if r.counted >= r.route.Attempts || r.refusals >= maxRefusals {
		return false
	}
	if r.launch(ctx) {
		return true
	}
	// All have been asked. Those that turned it away may have room soon.
	if time.Since(r.started) > time.Duration(fullShare*float64(r.objective)) {
		return false
	}
	if !sleep(ctx, fullPause) {
		return false
	}
	r.asked = nil
	return r.launch(ctx)
}

// launch starts an attempt at a replica not asked yet, if there is one.
func (r *run) launch(ctx context.Context) bool {
	endpoint, err := r.forwarder.pick(r.route, r.first, r.asked, r.call)
	if err != nil {
		if r.lastErr == nil {
			r.lastErr = err
		}
		if len(r.asked) == 0 {
			r.unpicked = err
		}
		return false
	}
	r.unpicked = nil
	r.counted++
	r.open++
	call := *r.call
	call.Once = !r.repeatable
	r.asked = append(r.asked, endpoint.Name)
	r.sent.add(endpoint.Name)
	go func() {
		whole, err := r.forwarder.attempt(ctx, endpoint, &call)
		r.results <- result{replica: endpoint.Name, whole: whole, err: err}
	}()
	return true
}

// expired ends a request whose time has run out or whose caller has left.
func (r *run) expired(ctx context.Context) (*Whole, error) {
	if r.failure != nil {
		return r.failure, nil
	}
	if r.mayHaveRun || r.open > 0 {
		return nil, &LostError{Expired: true, Cause: ctx.Err()}
	}
	return nil, refusal(ReasonExpired, r.lastErr, r.unpicked)
}

// giveUp ends a request that there is nothing left to try for.
func (r *run) giveUp(ctx context.Context) (*Whole, error) {
	if ctx.Err() != nil {
		return r.expired(ctx)
	}
	if r.failure != nil {
		return r.failure, nil
	}
	if r.mayHaveRun {
		return nil, &LostError{Cause: r.lastErr}
	}
	return nil, refusal(ReasonAllFull, r.lastErr, r.unpicked)
}
