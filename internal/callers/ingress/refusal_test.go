package ingress

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/ansel1/merry/v2"
	"k8s.io/klog/v2"

	"github.com/pathtally/pathtally/internal/callers/exchange"
	"github.com/pathtally/pathtally/internal/callers/forward"
	"github.com/pathtally/pathtally/internal/callers/tenancy"
)

// Guards against telling a caller that a request has not run, because of the cause of an error that
// says it may have.
func TestLostRequestIsNotRefused(t *testing.T) {
	refused := &forward.RefusedError{Reason: "r", RetryAfter: time.Minute, Cause: context.Canceled}
	for _, cause := range []error{
		errStopping, ErrGraceEnded, errNoConfiguration, errNoRoute, errNoRequestID, errStaleConfiguration, ErrBodyBudgetExhausted, ErrBodyTooLarge,
		&unauthenticatedError{tenancy.ErrNoKey}, refused, &exchange.NotSentError{Cause: errStopping},
	} {
		broken := &exchange.BrokenError{Cause: cause}
		for _, test := range []struct {
			err    error
			status int
		}{
			{&forward.LostError{Expired: true, Cause: broken}, http.StatusGatewayTimeout},
			{&forward.LostError{Cause: broken}, http.StatusBadGateway},
			{&forward.LostError{Cause: cause}, http.StatusBadGateway},
		} {
			if got := refusalOf(test.err); got.status != test.status || got.retryAfter != 0 {
				t.Errorf("%v: status %d, Retry-After %v, want %d and none", test.err, got.status, got.retryAfter, test.status)
			}
		}
	}
}

// Guards against a stopping node that cancels its requests and then answers as if their callers had
// left, or names another reason than the stop for those that have not run.
func TestErrorsAtEndOfGrace(t *testing.T) {
	refused := &forward.RefusedError{Reason: forward.ReasonExpired, RetryAfter: time.Minute, Cause: context.Canceled}
	for _, test := range []struct {
		name       string
		err        error
		status     int
		retryAfter time.Duration
	}{
		{"has not run", refused, http.StatusServiceUnavailable, stoppingRetryAfter},
		{"may have run", &forward.LostError{Expired: true, Cause: ErrGraceEnded}, http.StatusGatewayTimeout, 0},
	} {
		headers := &recordedHeaders{}
		handler := NewHandler(Config{Headers: headers, Logger: klog.Background()})
		ctx, cancel := context.WithCancelCause(t.Context())
		cancel(ErrGraceEnded)
		response := httptest.NewRecorder()
		handler.handleForwardError(response, httptest.NewRequestWithContext(ctx, http.MethodPost, "/x", nil), "one", test.err)
		if response.Code != test.status || headers.retryAfter != test.retryAfter {
			t.Errorf("%s: status %d, Retry-After %v, want %d, %v", test.name, response.Code, headers.retryAfter, test.status, test.retryAfter)
		}
	}
}

// recordedHeaders records the Retry-After of a response.
type recordedHeaders struct {
	Headers
	retryAfter time.Duration
}

func (h *recordedHeaders) SetRefusal(_ http.Header, _ string, retryAfter time.Duration) {
	h.retryAfter = retryAfter
}

func TestRefusalOf(t *testing.T) {
	for name, test := range map[string]struct {
		cause error
		want  refusal
	}{
		"no configuration":      {errNoConfiguration, refusal{503, "no configuration is known yet", 250 * time.Millisecond}},
		"stopping":              {errStopping, refusal{503, "the node is stopping", 100 * time.Millisecond}},
		"no route":              {errNoRoute, refusal{404, "no route for the host and path", 0}},
		"no id":                 {errNoRequestID, refusal{400, "the request has no id", 0}},
		"unknown key":           {&unauthenticatedError{tenancy.ErrUnknownKey}, refusal{401, tenancy.ErrUnknownKey.Error(), 0}},
		"no key":                {&unauthenticatedError{tenancy.ErrNoKey}, refusal{401, tenancy.ErrNoKey.Error(), 0}},
		"other key error":       {&unauthenticatedError{merry.Sentinel("other")}, refusal{401, "other", 0}},
		"stale configuration":   {&unauthenticatedError{errStaleConfiguration}, refusal{503, "the configuration is too old to tell whose key it is", 100 * time.Millisecond}},
		"body budget exhausted": {ErrBodyBudgetExhausted, refusal{503, "no room for the body", 300 * time.Millisecond}},
		"body too large":        {ErrBodyTooLarge, refusal{413, "body is over the limit", 0}},
		"refused by forwarding": {&forward.RefusedError{Reason: "r", RetryAfter: time.Minute, Cause: context.Canceled}, refusal{503, "r", time.Minute}},
		"expired":               {&forward.LostError{Expired: true, Cause: context.DeadlineExceeded}, refusal{504, "the time for the request ran out", 0}},
		"lost":                  {&forward.LostError{Cause: context.Canceled}, refusal{502, "no whole answer from a replica", 0}},
	} {
		if got := refusalOf(test.cause); got != test.want {
			t.Errorf("%s: %+v, want %+v", name, got, test.want)
		}
	}
}
