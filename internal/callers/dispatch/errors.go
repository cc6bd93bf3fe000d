package dispatch

import (
	"errors"
	"fmt"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/pathtally/pathtally/internal/replicas/routing"
)

// ErrResponseMismatch means that a response carries the id of another request.
var ErrResponseMismatch = merry.Sentinel("response belongs to another request")

// ErrUnsigned means that a response with status 2xx is not signed by a replica.
var ErrUnsigned = merry.Sentinel("successful response has no signature")

// ErrMalformedLoad means that a replica's load report has another format, or figures that are too
// large to be true.
var ErrMalformedLoad = merry.Sentinel("malformed load report")

// ErrContradictoryLoad means that the figures of a load report contradict each other or the
// replica's entry.
var ErrContradictoryLoad = merry.Sentinel("contradictory load report")

// LoadReportError reports that a replica's load report is unusable.
type LoadReportError struct {
	// Cause is ErrMalformedLoad or ErrContradictoryLoad.
	Cause error
	// Report is the report as received.
	Report string
}

func (e *LoadReportError) Error() string { return fmt.Sprintf("%v: %.80q", e.Cause, e.Report) }

// Unwrap returns the cause.
func (e *LoadReportError) Unwrap() error { return e.Cause }

// NotRunError reports that a replica states that it did not run the request.
type NotRunError struct {
	Replica string
	Status  int
	// AddressReassigned is set if another replica now has the address.
	AddressReassigned bool
}

func (e *NotRunError) Error() string {
	return fmt.Sprintf("replica %s did not run the request: status %d", e.Replica, e.Status)
}

// MayHaveRun returns false.
func (e *NotRunError) MayHaveRun() bool { return false }

// WithheldError reports that this node did not send a request, because the replica must not
// get requests now.
type WithheldError struct {
	Replica string
	// Reason is routing.ReasonEvacuated or routing.ReasonSlowStart.
	Reason routing.Reason
}

func (e *WithheldError) Error() string {
	return fmt.Sprintf("request not sent to replica %s: replica is %s", e.Replica, e.Reason)
}

// MayHaveRun returns false.
func (e *WithheldError) MayHaveRun() bool { return false }

// QuarantinedError reports that this node did not send a request, because the request has
// crashed several replicas. It must not be sent to another replica either.
type QuarantinedError struct {
	// Fingerprint identifies the request independently of its id.
	Fingerprint string
	// Remaining is the time until the quarantine ends.
	Remaining time.Duration
}

func (e *QuarantinedError) Error() string {
	return fmt.Sprintf("request %s quarantined for another %v: it crashed replicas", e.Fingerprint, e.Remaining.Round(time.Second))
}

// MayHaveRun returns false.
func (e *QuarantinedError) MayHaveRun() bool { return false }

// CrashBackoffError reports that this node did not send a deferred call, because several replicas
// have crashed under it lately. It must not be sent to another replica either until Remaining has
// passed.
type CrashBackoffError struct {
	// Fingerprint identifies the call independently of its id.
	Fingerprint string
	// Crashes is the number of crashes since the call last succeeded, as far as this node counts.
	Crashes   int
	Remaining time.Duration
}

func (e *CrashBackoffError) Error() string {
	return fmt.Sprintf("request %s delayed by %d ms: %d replicas crashed under it", e.Fingerprint, e.Remaining.Milliseconds(), e.Crashes)
}

// MayHaveRun returns false.
func (e *CrashBackoffError) MayHaveRun() bool { return false }

// QuarantineUnknownError reports that this node did not send a request, because it has not read
// the quarantine record yet.
type QuarantineUnknownError struct {
	// RetryAfter is the delay after which the record has usually been read.
	RetryAfter time.Duration
}

func (e *QuarantineUnknownError) Error() string {
	return "request not sent: quarantine record not read yet"
}

// MayHaveRun returns false.
func (e *QuarantineUnknownError) MayHaveRun() bool { return false }

// MayHaveRun reports whether a replica may have run the request of an attempt that failed
// with err, in Send or while the response was read. The outermost error that has a method
// MayHaveRun decides: its cause may belong to another attempt or to the context. Without one, the
// request may have run.
func MayHaveRun(err error) bool {
	var outcome interface {
		error
		MayHaveRun() bool
	}
	return !errors.As(err, &outcome) || outcome.MayHaveRun()
}
