package forward

import (
	"context"
	"errors"
	"net/http"
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

// Guards against reporting the idle timeout of a stream as a cancellation by the caller.
func TestIdleTimeoutIsReportedAsCause(t *testing.T) {
	for name, handle := range map[string]handler{
		"before the response head": hang,
		"after the response head": func(writer http.ResponseWriter, request *http.Request) {
			writer.WriteHeader(http.StatusOK)
			writer.(http.Flusher).Flush()
			hang(writer, request)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			route := testRoute(directory.RouteStream)
			route.Resumable, route.Attempts, route.Objective = true, 1, 50*time.Millisecond
			err := newForwarder(startBackend(t, handle)).Stream(t.Context(), route, testCall(5*time.Second), nullSink{})
			if !errors.Is(err, ErrStreamInterrupted) || errors.Is(err, context.Canceled) {
				t.Errorf("error %v, want %v", err, ErrStreamInterrupted)
			}
		})
	}
}
