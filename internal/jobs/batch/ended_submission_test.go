package batch

import (
	"context"
	"errors"
	"testing"

	"github.com/pathtally/pathtally/internal/jobs/jobstore"
)

// Guards against a submission that is begun after its context has ended, and against calling one not
// accepted while an earlier submission of the job may still succeed.
func TestSubmissionWithEndedContext(t *testing.T) {
	cluster := newCluster(t, 1)
	node := cluster.nodes[0]
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	submitted, payload := submission("job", 2)
	request := &SubmitRequest{ID: "job", Route: testRoute, Host: "drafts.example", Payload: payload, Submission: submitted}
	var notAccepted *jobstore.NotAcceptedError
	if err := node.submitLocally(ended, request); !errors.As(err, &notAccepted) || cluster.store.Has(jobstore.KindPayloads, "job-0000") {
		t.Errorf("error %v, want that the job is not accepted and nothing is stored", err)
	}
	created := cluster.setGate("create", jobstore.KindPayloads)
	defer close(created.open)
	go node.submitLocally(t.Context(), request)
	eventually(t, "the job is being accepted", func() bool { return node.isPending("job") })
	var unknown *jobstore.AcceptanceUnknownError
	if err := node.submitLocally(ended, request); !errors.As(err, &unknown) {
		t.Errorf("error %v, want an unknown outcome while the job may be accepted", err)
	}
}
