package forward

import (
	"fmt"
	"time"

	"github.com/ansel1/merry/v2"
)

// RefusedError is a request that has not run and never will.
type RefusedError struct {
	Reason string
	// RetryAfter is when it is worth coming back.
	RetryAfter time.Duration
	Cause      error
}

// Error gives the reason.
func (e *RefusedError) Error() string { return fmt.Sprintf("refused, %s: %v", e.Reason, e.Cause) }

// Unwrap returns the cause.
func (e *RefusedError) Unwrap() error { return e.Cause }

// LostError is a request that was sent to replicas, may have run, and has no
// answer.
type LostError struct {
	// Expired tells that the time for it has run out.
	Expired bool
	Cause   error
}

// Error gives the cause.
func (e *LostError) Error() string { return fmt.Sprintf("no answer, may have run: %v", e.Cause) }

// Unwrap returns the cause.
func (e *LostError) Unwrap() error { return e.Cause }

// Reasons of a RefusedError.
const (
	ReasonNoReplica = "no replica is available"
	ReasonAllFull   = "every replica turned it away"
	ReasonExpired   = "the time ran out before a replica took it"
	ReasonEvacuated = "every replica is in an evacuated zone"
	ReasonWarmingUp = "every replica that may serve it warms up"
	// ReasonQuarantined refuses a request, whatever its id, under which replicas end.
	ReasonQuarantined = "replicas end under this request"
	// ReasonOutsideHome refuses where a route or tenant names the only regions.
	ReasonOutsideHome = "no replica in the allowed regions"
)

// ErrSilent means that a stream was cut because nothing came.
var ErrSilent = merry.Sentinel("stream has fallen silent")

// ErrAnswerTooLong means that a replica's answer is over any bound.
var ErrAnswerTooLong = merry.Sentinel("answer is too long")

// StreamStatusError is a replica's answer that continues no stream.
type StreamStatusError struct{ Status int }

// Error gives the status.
func (e *StreamStatusError) Error() string {
	return fmt.Sprintf("replica answered status %d", e.Status)
}

// BrokenStreamError is a stream that has begun and has no end.
type BrokenStreamError struct {
	Events int
	Cause  error
}

// Error gives the cause.
func (e *BrokenStreamError) Error() string { return "stream broken off: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *BrokenStreamError) Unwrap() error { return e.Cause }
