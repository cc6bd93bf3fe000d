package ingress

import (
	"context"
	"testing"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/pathtally/pathtally/internal/callers/forward"
	"github.com/pathtally/pathtally/internal/callers/tenancy"
)

func TestRefusalOf(t *testing.T) {
	for name, test := range map[string]struct {
		cause error
		want  refusal
	}{
		"no configuration":      {errNoConfiguration, refusal{503, "no configuration is known yet", 250 * time.Millisecond}},
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
