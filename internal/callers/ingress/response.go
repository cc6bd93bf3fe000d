package ingress

import (
	"net/http"
	"strconv"

	"github.com/pathtally/pathtally/internal/callers/forward"
)

// writeResponse writes a replica's response unchanged.
func (h *Handler) writeResponse(writer http.ResponseWriter, response *forward.BufferedResponse) {
	header := writer.Header()
	copyResponseHeaders(header, response.Response.Header)
	header.Set("Content-Length", strconv.Itoa(len(response.Body)))
	writer.WriteHeader(response.Response.Status)
	writer.Write(response.Body)
}

// copyResponseHeaders copies the end-to-end headers of a replica's response.
func copyResponseHeaders(header, from http.Header) {
	for name, values := range withoutConnectionHeaders(from) {
		header[name] = values
	}
	if header.Get("Content-Type") == "" {
		// A nil value keeps net/http from detecting a content type.
		header["Content-Type"] = nil
	}
}
