package ingress

import (
	"errors"
	"io"
	"net/http"

	"github.com/pathtally/pathtally/internal/callers/dispatch"
	"github.com/pathtally/pathtally/internal/callers/forward"
	"github.com/pathtally/pathtally/internal/replicas/directory"
)

// streamSink writes the events of a stream to a caller and flushes after each.
type streamSink struct{ writer http.ResponseWriter }

var _ forward.StreamSink = streamSink{}

// Begin implements forward.StreamSink.
func (s streamSink) Begin(response *dispatch.Response) {
	copyResponseHeaders(s.writer.Header(), response.Header)
	s.writer.WriteHeader(response.Status)
	http.NewResponseController(s.writer).Flush()
}

// Event implements forward.StreamSink.
func (s streamSink) Event(raw string) error {
	if _, err := io.WriteString(s.writer, raw); err != nil {
		return err
	}
	return http.NewResponseController(s.writer).Flush()
}

// forwardStream forwards a request whose response is an event stream. If the stream breaks
// off, it aborts the connection, so that the caller does not take the stream for complete.
func (h *Handler) forwardStream(writer http.ResponseWriter, request *http.Request, route *directory.Route, call *dispatch.Call) {
	err := h.config.Forwarder.Stream(request.Context(), route, call, streamSink{writer})
	var broken *forward.BrokenStreamError
	switch {
	case err == nil:
	case errors.As(err, &broken):
		panic(http.ErrAbortHandler)
	default:
		h.handleForwardError(writer, request, call.ID, err)
	}
}
