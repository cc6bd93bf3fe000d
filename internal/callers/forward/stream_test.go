package forward

import (
	"errors"
	"testing"
	"time"

	"github.com/pathtally/pathtally/internal/replicas/directory"
)

// Guards against refusing, as not run, a stream whose deadline passes during its attempt.
func TestAStreamWhoseTimeRunsOutAtAReplicaIsNoRefusal(t *testing.T) {
	for _, resumable := range []bool{false, true} {
		hanging := startBackend(t, hangs)
		slow := route(directory.RouteStream)
		slow.Resumable = resumable
		err := newForwarder(hanging).Stream(t.Context(), slow, call(100*time.Millisecond), nullSink{})
		var lost *LostError
		if !errors.As(err, &lost) || !lost.Expired || hanging.runs.Load() != 1 {
			t.Errorf("resumable %v: ended with %v after %d runs, want an expired request", resumable, err, hanging.runs.Load())
		}
	}
}
