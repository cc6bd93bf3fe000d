package ingress

import (
	"net/http"
	"time"

	"github.com/pathtally/pathtally/internal/callers/tenancy"
)

// Headers reads and writes the headers that callers and nodes exchange.
type Headers interface {
	// RequestID returns the id that the caller gave the request, empty if none.
	RequestID(header http.Header) string
	// Key returns the API key of a request, or an error of package tenancy if the request
	// has no valid one.
	Key(header http.Header) (tenancy.Key, error)
	// RemoveKey removes the API key from headers that are forwarded.
	RemoveKey(header http.Header)
	// Deadline returns the caller's timeout, and false if it gives none.
	Deadline(header http.Header) (time.Duration, bool)
	// LastEventID returns the id of the event after which the stream resumes, 0 for its
	// beginning.
	LastEventID(header http.Header) int
	// ResultWait returns how long a read of job results may wait for new ones.
	ResultWait(header http.Header) time.Duration
	// SetRefusal sets the headers of a refusal: the request's id, and Retry-After unless after
	// is 0.
	SetRefusal(header http.Header, id string, after time.Duration)
}
