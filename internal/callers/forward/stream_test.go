package forward

import (
	"errors"
	"testing"
	"time"

	"github.com/pathtally/pathtally/internal/replicas/directory"
)

// Guards against refusing, as not run, a stream whose deadline passes during its attempt.
func TestStreamDeadlineIsNotRefusal(t *testing.T) {
	for _, resumable := range []bool{false, true} {
		backend := startBackend(t, hang)
		route := testRoute(directory.RouteStream)
		route.Resumable = resumable
		err := newForwarder(backend).Stream(t.Context(), route, testCall(100*time.Millisecond), nullSink{})
		var lost *LostError
		if !errors.As(err, &lost) || !lost.Expired || backend.runs.Load() != 1 {
			t.Errorf("resumable %v: error %v after %d runs, want an expired request after 1", resumable, err, backend.runs.Load())
		}
	}
}
