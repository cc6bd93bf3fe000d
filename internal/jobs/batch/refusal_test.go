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
		{"submission of another tenant's job", submissionRefusal(ErrOtherTenant), refusal{http.StatusConflict, 0}},
		{"submission without a replica", submissionRefusal(&jobstore.NotAcceptedError{Cause: forward.ErrNoReplicaInAllowedRegions}), refusal{http.StatusServiceUnavailable, 2 * time.Second}},
		{"submission not accepted", submissionRefusal(&jobstore.NotAcceptedError{Cause: broken}), refusal{http.StatusServiceUnavailable, 200 * time.Millisecond}},
		{"submission with unknown outcome", submissionRefusal(&jobstore.AcceptanceUnknownError{Cause: broken}), refusal{http.StatusGatewayTimeout, 0}},
		{"submission with another error", submissionRefusal(broken), refusal{http.StatusGatewayTimeout, 0}},
		{"submission with unknown outcome after a refusal", submissionRefusal(&jobstore.AcceptanceUnknownError{Cause: &jobstore.NotAcceptedError{Cause: broken}}), refusal{http.StatusGatewayTimeout, 0}},
		{"end with unknown outcome", callRefusal(&jobstore.EndUnknownError{Cause: jobstore.ErrNoSuchJob}), refusal{http.StatusGatewayTimeout, 0}},
		{"call about an unknown job", callRefusal(jobstore.ErrNoSuchJob), refusal{http.StatusNotFound, 0}},
		{"call about an unknown item", callRefusal(ErrNoSuchItem), refusal{http.StatusNotFound, 0}},
		{"call with another error", callRefusal(broken), refusal{http.StatusServiceUnavailable, 200 * time.Millisecond}},
	} {
		if test.got != test.want {
			t.Errorf("%s: %+v, want %+v", test.name, test.got, test.want)
		}
	}
}
