package ingress

import (
	"net/http"
	"strings"
	"time"

	"github.com/pathtally/pathtally/internal/callers/tenancy"
)

// Headers reads and writes the headers between callers and nodes.
type Headers interface {
	// RequestID returns the caller's id of a request, empty if it gives none.
	RequestID(header http.Header) string
	// Key returns the API key of a request, or an error of package tenancy that says
	// why there is none.
	Key(header http.Header) (tenancy.Key, error)
	// WithholdKey removes the key from the headers that are passed on.
	WithholdKey(header http.Header)
	// Deadline returns how long the caller waits; false if it names no time.
	Deadline(header http.Header) (time.Duration, bool)
	// AfterEvent returns the id of the event after which a stream is to be continued,
	// 0 for its beginning.
	AfterEvent(header http.Header) int
	// Wait returns how long a read of results may be held open.
	Wait(header http.Header) time.Duration
	// Refuse adds the request's id and the Retry-After, 0 for none.
	Refuse(header http.Header, id string, after time.Duration)
}

// connectionHeaders concern one connection only and are never passed on.
var connectionHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// withoutConnectionHeaders returns a copy of headers to pass on.
func withoutConnectionHeaders(header http.Header) http.Header {
	kept := header.Clone()
	for _, line := range header.Values("Connection") {
		for _, name := range strings.Split(line, ",") {
			kept.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range connectionHeaders {
		kept.Del(name)
	}
	return kept
}
