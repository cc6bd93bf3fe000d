package batch

import (
	"errors"
	"net/http"
	"testing"
	"time"

	"github.com/pathtally/pathtally/internal/callers/forward"
	"github.com/pathtally/pathtally/internal/jobs/jobstore"
)

func TestRefusals(t *testing.T) {
	broken := errors.New("broken")
	for _, test := range []struct {
		name string
		got  refusal
		want refusal
	}{
		{"submission of another tenant's job", refusalOfSubmission(ErrOtherTenant), refusal{http.StatusConflict, 0}},
		{"submission without a home", refusalOfSubmission(&jobstore.NotAcceptedError{Cause: forward.ErrNoReplicaInAllowedRegions}), refusal{http.StatusServiceUnavailable, 2 * time.Second}},
		{"submission not taken", refusalOfSubmission(&jobstore.NotAcceptedError{Cause: broken}), refusal{http.StatusServiceUnavailable, 200 * time.Millisecond}},
		{"submission uncertain", refusalOfSubmission(&jobstore.AcceptanceUnknownError{Cause: broken}), refusal{http.StatusGatewayTimeout, 0}},
		{"submission that failed otherwise", refusalOfSubmission(broken), refusal{http.StatusGatewayTimeout, 0}},
		{"call about no job", refusalOfCall(jobstore.ErrNoSuchJob), refusal{http.StatusNotFound, 0}},
		{"call about no item", refusalOfCall(ErrNoSuchItem), refusal{http.StatusNotFound, 0}},
		{"call that failed otherwise", refusalOfCall(broken), refusal{http.StatusServiceUnavailable, 200 * time.Millisecond}},
	} {
		if test.got != test.want {
			t.Errorf("%s: %+v, want %+v", test.name, test.got, test.want)
		}
	}
}
