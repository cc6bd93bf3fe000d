package forward

import (
	"fmt"
	"time"

	"github.com/ansel1/merry/v2"
)

// RefusedError reports a request that no replica has run or will run.
type RefusedError struct {
	Reason string
	// RetryAfter is the delay after which the caller should retry.
	RetryAfter time.Duration
	Cause      error
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("request refused: %s: %v", e.Reason, e.Cause)
}

func (e *RefusedError) Unwrap() error { return e.Cause }

// MayHaveRun returns false.
func (e *RefusedError) MayHaveRun() bool { return false }

// LostError reports a request that may have run at a replica but has no response.
type LostError struct {
	// Expired is set if the deadline passed or the caller disconnected.
	Expired bool
	Cause   error
}

func (e *LostError) Error() string {
	return fmt.Sprintf("no response, request may have run: %v", e.Cause)
}

func (e *LostError) Unwrap() error { return e.Cause }

// MayHaveRun returns true.
func (e *LostError) MayHaveRun() bool { return true }

// Reasons of a RefusedError. They are the body of the response to the caller.
const (
	ReasonNoReplica = "no replica is available"
	ReasonAllFull   = "every replica turned it away"
	ReasonExpired   = "the time ran out before a replica took it"
	ReasonEvacuated = "every replica is in an evacuated zone"
	ReasonWarmingUp = "every replica that may serve it warms up"
	// ReasonQuarantined refuses a request that has crashed several replicas, whatever id
	// it is sent with.
	ReasonQuarantined = "replicas end under this request"
	// ReasonCrashBackoff refuses a scorer's call under which replicas crashed lately.
	ReasonCrashBackoff = "replicas crashed under this call"
	// ReasonQuarantineUnknown refuses a request because the node has not read the
	// quarantine record yet.
	ReasonQuarantineUnknown = "the requests in quarantine are not known yet"
	// ReasonOutsideRegions refuses a request whose allowed regions have no replica.
	ReasonOutsideRegions = "no replica in the allowed regions"
)

// ErrNoReplicaInAllowedRegions means that no replica of the route is in a region where the
// request may be served.
var ErrNoReplicaInAllowedRegions = merry.Sentinel("the services of the route have no replica in the allowed regions")

// ErrOverloaded means that a service could not answer a request within its objective.
var ErrOverloaded = merry.Sentinel("the replicas of the service are overloaded")

// ErrStreamInterrupted means that a resumable stream was interrupted: no event arrived for too
// long, or the connection closed without HTTP framing that marks the end of the body.
var ErrStreamInterrupted = merry.Sentinel("stream idle or closed without framing")

// ErrResponseBudgetExhausted means that the large bodies that are being read leave no room for a
// response.
var ErrResponseBudgetExhausted = merry.Sentinel("no room for the response body")

// ErrResponseTooLarge means that the body of a response is larger than maxResponseBytes.
var ErrResponseTooLarge = merry.Sentinel("response body too large")

// StreamStatusError reports a response whose status cannot continue a stream.
type StreamStatusError struct{ Status int }

func (e *StreamStatusError) Error() string {
	return fmt.Sprintf("replica responded with status %d", e.Status)
}

// BrokenStreamError reports a stream that ended early, after the response head had been
// forwarded to the caller.
type BrokenStreamError struct {
	// Events is the number of events that were forwarded.
	Events int
	Cause  error
}

func (e *BrokenStreamError) Error() string { return "stream ended early: " + e.Cause.Error() }

func (e *BrokenStreamError) Unwrap() error { return e.Cause }

// MayHaveRun returns true.
func (e *BrokenStreamError) MayHaveRun() bool { return true }
