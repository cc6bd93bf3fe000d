package dispatch

import (
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/pathtally/pathtally/internal/callers/exchange"
	"github.com/pathtally/pathtally/internal/replicas/routing"
)

// Guards against taking the cause of an error for the outcome of the attempt.
func TestMayHaveRunIsOfOutermostError(t *testing.T) {
	notSent, broken := &exchange.NotSentError{Cause: net.ErrClosed}, &exchange.BrokenError{Cause: net.ErrClosed}
	for _, cause := range []error{
		notSent, broken, &NotRunError{Status: 503}, &WithheldError{}, &QuarantinedError{}, &CrashBackoffError{}, &QuarantineUnknownError{},
	} {
		if err := (&exchange.BrokenError{Cause: cause}); !MayHaveRun(err) {
			t.Errorf("%v: has not run, want that it may have", err)
		}
		if err := (&exchange.NotSentError{Cause: cause}); MayHaveRun(err) {
			t.Errorf("%v: may have run, want that it has not", err)
		}
	}
}

func TestMayHaveRun(t *testing.T) {
	for _, test := range []struct {
		err        error
		mayHaveRun bool
	}{
		{&QuarantinedError{Remaining: time.Second}, false},
		{&QuarantineUnknownError{RetryAfter: time.Second}, false},
		{&WithheldError{Reason: routing.ReasonSlowStart}, false},
		{&NotRunError{Status: 503}, false},
		{&exchange.NotSentError{Cause: net.ErrClosed}, false},
		{fmt.Errorf("wrapped: %w", &exchange.NotSentError{Cause: net.ErrClosed}), false},
		{&exchange.BrokenError{Cause: net.ErrClosed}, true},
		{&exchange.BrokenError{Cause: ErrResponseMismatch}, true},
		{net.ErrClosed, true},
	} {
		if got := MayHaveRun(test.err); got != test.mayHaveRun {
			t.Errorf("%T: may have run %v, want %v", test.err, got, test.mayHaveRun)
		}
	}
}
