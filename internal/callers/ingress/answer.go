package ingress

import (
	"net/http"
	"strconv"

	"github.com/pathtally/pathtally/internal/callers/forward"
)

// writeAnswer writes a replica's answer unchanged.
func (h *Handler) writeAnswer(writer http.ResponseWriter, answer *forward.BufferedResponse) {
	header := writer.Header()
	copyAnswerHeaders(header, answer.Response.Header)
	header.Set("Content-Length", strconv.Itoa(len(answer.Body)))
	writer.WriteHeader(answer.Response.Status)
	writer.Write(answer.Body)
}

// copyAnswerHeaders copies the headers of a replica's answer.
func copyAnswerHeaders(header, from http.Header) {
	for name, values := range withoutConnectionHeaders(from) {
		header[name] = values
	}
	if header.Get("Content-Type") == "" {
		// Keeps net/http from guessing a type.
		header["Content-Type"] = nil
	}
}
