package dispatch

import (
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/pathtally/pathtally/internal/callers/exchange"
	"github.com/pathtally/pathtally/internal/replicas/routing"
)

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
