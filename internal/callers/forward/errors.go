package forward

import (
	"fmt"
	"time"

	"github.com/ansel1/merry/v2"
)

// RefusedError is a request that has not run and never will.
type RefusedError struct {
	Reason string
	// RetryAfter is the time after which the caller should try again.
	RetryAfter time.Duration
	Cause      error
}

// Error gives the reason.
func (e *RefusedError) Error() string { return fmt.Sprintf("refused, %s: %v", e.Reason, e.Cause) }

// Unwrap returns the cause.
func (e *RefusedError) Unwrap() error { return e.Cause }

// LostError is a request that may have run at a replica and has no answer.
type LostError struct {
	// Expired is set if its deadline has passed or its caller has left.
	Expired bool
	Cause   error
}

// Error gives the cause.
func (e *LostError) Error() string { return fmt.Sprintf("no answer, may have run: %v", e.Cause) }

// Unwrap returns the cause.
func (e *LostError) Unwrap() error { return e.Cause }

// Reasons of a RefusedError. Callers get them as the text of the answer.
const (
	ReasonNoReplica = "no replica is available"
	ReasonAllFull   = "every replica turned it away"
	ReasonExpired   = "the time ran out before a replica took it"
	ReasonEvacuated = "every replica is in an evacuated zone"
	ReasonWarmingUp = "every replica that may serve it warms up"
	// ReasonQuarantined refuses a request that replicas crash under, whatever its id.
	ReasonQuarantined = "replicas end under this request"
	// ReasonOutsideHome refuses a request bound to regions without a replica.
	ReasonOutsideHome = "no replica in the allowed regions"
)

// ErrNoHome means that no replica of a route is in a region in which the request may
// be served.
var ErrNoHome = merry.Sentinel("the services of the route have no replica in the allowed regions")

// ErrSilent means that a stream was cut off because no event came for too long.
var ErrSilent = merry.Sentinel("stream has fallen silent")

// ErrAnswerTooLong means that a replica's answer is over maxAnswerBytes.
var ErrAnswerTooLong = merry.Sentinel("answer is too long")

// StreamStatusError is a replica's answer of a status that cannot continue a stream.
type StreamStatusError struct{ Status int }

// Error gives the status.
func (e *StreamStatusError) Error() string {
	return fmt.Sprintf("replica answered status %d", e.Status)
}

// BrokenStreamError is a stream of which the caller has the head, and not the end.
type BrokenStreamError struct {
	// Events is the number of events that were passed on.
	Events int
	Cause  error
}

// Error gives the cause.
func (e *BrokenStreamError) Error() string { return "stream broken off: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *BrokenStreamError) Unwrap() error { return e.Cause }
