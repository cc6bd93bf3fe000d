package ingress

import (
	"errors"
	"io"
	"net/http"

	"github.com/pathtally/pathtally/internal/callers/dispatch"
	"github.com/pathtally/pathtally/internal/callers/forward"
	"github.com/pathtally/pathtally/internal/replicas/directory"
)

// streamSink writes a stream to a caller event by event.
type streamSink struct{ writer http.ResponseWriter }

var _ forward.StreamSink = streamSink{}

// Begin implements forward.StreamSink.
func (s streamSink) Begin(answer *dispatch.Response) {
	copyAnswerHeaders(s.writer.Header(), answer.Header)
	s.writer.WriteHeader(answer.Status)
	http.NewResponseController(s.writer).Flush()
}

// Event implements forward.StreamSink.
func (s streamSink) Event(raw string) error {
	if _, err := io.WriteString(s.writer, raw); err != nil {
		return err
	}
	return http.NewResponseController(s.writer).Flush()
}

// forwardStream forwards a request whose answer is a series of events. The connection
// of a stream that breaks off is cut, so that it does not look complete.
func (h *Handler) forwardStream(writer http.ResponseWriter, request *http.Request, route *directory.Route, call *dispatch.Call) {
	err := h.config.Forwarder.Stream(request.Context(), route, call, streamSink{writer})
	var broken *forward.BrokenStreamError
	switch {
	case err == nil:
	case errors.As(err, &broken):
		panic(http.ErrAbortHandler)
	default:
		h.refuseUnserved(writer, request, call.ID, err)
	}
}
