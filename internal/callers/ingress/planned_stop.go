package ingress

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"
)

// errStopping refuses a request that the stopping node has not forwarded.
var errStopping = merry.Sentinel("the node is stopping")

// ErrGraceEnded is the cause with which a stopping node cancels the requests in progress. It does not
// tell whether a request has run.
var ErrGraceEnded = merry.Sentinel("the grace period of the node has ended")

// stoppingRetryAfter is the Retry-After of a request that a stopping node refuses: other nodes serve
// it at once.
const stoppingRetryAfter = 100 * time.Millisecond

// maxJobCallTime bounds the time that a node takes for a call about a batch job.
const maxJobCallTime = 3500 * time.Millisecond

// plannedStop says which requests a stopping node still takes. A nil plannedStop takes all.
type plannedStop struct {
	// takeAllUntil is the time until which all requests are taken: callers have not noticed yet
	// that the node is not ready.
	takeAllUntil time.Time
	// end is when the node ends its requests.
	end time.Time
}

// takes reports whether a request that arrives now and may last until a deadline is taken. One that
// might not end in time is better served by another node.
func (s *plannedStop) takes(now, deadline time.Time) bool {
	return s == nil || !now.After(s.takeAllUntil) || !deadline.After(s.end)
}

// Stop makes the handler close each connection after its next response. From takeAllUntil on, it
// refuses requests that may last beyond end.
func (h *Handler) Stop(takeAllUntil, end time.Time) {
	h.stop.Store(&plannedStop{takeAllUntil: takeAllUntil, end: end})
}

// UntilGraceEnd returns a context for work that goes on if the caller of a request disconnects. It ends
// with parent, and with cause ErrGraceEnded when the node ends its requests in progress, so that the
// request still gets a response.
func UntilGraceEnd(parent context.Context, request *http.Request) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(parent)
	detach := context.AfterFunc(request.Context(), func() {
		if errors.Is(context.Cause(request.Context()), ErrGraceEnded) {
			cancel(ErrGraceEnded)
		}
	})
	return ctx, func() {
		detach()
		cancel(nil)
	}
}
