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
type streamSink struct {
	writer http.ResponseWriter
	// resumable is set if this node checks at another replica whether a stream without framing
	// was complete.
	resumable bool
	// unframed is set if the end of the response is that of the connection.
	unframed bool
}

var _ forward.StreamSink = (*streamSink)(nil)

// Begin implements forward.StreamSink.
func (s *streamSink) Begin(response *dispatch.Response) {
	copyResponseHeaders(s.writer.Header(), response.Header)
	if s.unframed = !response.Framed && !s.resumable; s.unframed {
		endWithConnection(s.writer.Header())
	}
	s.writer.WriteHeader(response.Status)
	http.NewResponseController(s.writer).Flush()
}

// Event implements forward.StreamSink.
func (s *streamSink) Event(raw string) error {
	if _, err := io.WriteString(s.writer, raw); err != nil {
		return err
	}
	return http.NewResponseController(s.writer).Flush()
}

// forwardStream forwards a request whose response is an event stream. If the stream breaks
// off, it aborts the connection, so that the caller does not take the stream for complete.
func (h *Handler) forwardStream(writer http.ResponseWriter, request *http.Request, route *directory.Route, call *dispatch.Call) {
	sink := &streamSink{writer: writer, resumable: route.Resumable}
	err := h.config.Forwarder.Stream(request.Context(), route, call, sink)
	var broken *forward.BrokenStreamError
	switch {
	case err == nil:
	case errors.As(err, &broken) && sink.unframed:
		resetConnection(writer)
	case errors.As(err, &broken):
		panic(http.ErrAbortHandler)
	default:
		h.handleForwardError(writer, request, call.ID, err)
	}
}
