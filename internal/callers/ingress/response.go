package ingress

import (
	"net/http"
	"strconv"

	"github.com/pathtally/pathtally/internal/callers/exchange"
	"github.com/pathtally/pathtally/internal/callers/forward"
)

// writeResponse writes a replica's response unchanged.
func (h *Handler) writeResponse(writer http.ResponseWriter, response *forward.BufferedResponse) {
	header := writer.Header()
	copyResponseHeaders(header, response.Response.Header)
	if response.Response.Framed {
		header.Set("Content-Length", strconv.Itoa(len(response.Body)))
	} else {
		endWithConnection(header)
	}
	writer.WriteHeader(response.Response.Status)
	writer.Write(response.Body)
}

// copyResponseHeaders copies the end-to-end headers of a replica's response.
func copyResponseHeaders(header, from http.Header) {
	for name, values := range exchange.WithoutConnectionHeaders(from) {
		header[name] = values
	}
	if header.Get("Content-Type") == "" {
		// A nil value keeps net/http from detecting a content type.
		header["Content-Type"] = nil
	}
}

// endWithConnection makes a response end when its connection is closed, without a length or chunks.
// A replica's response that had neither may be truncated, and must not look more complete to the
// caller than it did to this node.
func endWithConnection(header http.Header) {
	// net/http removes the header and adds Connection: close.
	header.Set("Transfer-Encoding", "identity")
}

// resetter is a TCP connection.
type resetter interface{ SetLinger(seconds int) error }

// resetConnection resets the connection of a response that ends with it, so that the caller notices
// that the response is truncated.
func resetConnection(writer http.ResponseWriter) {
	connection, _, err := http.NewResponseController(writer).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if tcp, isTCP := connection.(resetter); isTCP {
		// With unsent data discarded, Close sends a reset.
		tcp.SetLinger(0)
	}
	connection.Close()
}
