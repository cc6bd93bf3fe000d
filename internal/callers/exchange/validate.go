package exchange

import (
	"fmt"
	"net/http"
	"strings"

	"github.com/pathtally/pathtally/internal/httpconn"
)

// connectionHeaders apply to a single connection (hop-by-hop) or describe the body on it, and are never
// forwarded.
var connectionHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// WithoutConnectionHeaders returns a copy of headers without those of the connection.
func WithoutConnectionHeaders(header http.Header) http.Header {
	forwarded := header.Clone()
	for _, line := range header.Values("Connection") {
		for _, name := range strings.Split(line, ",") {
			forwarded.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range connectionHeaders {
		forwarded.Del(name)
	}
	return forwarded
}

// InvalidRequestError reports a request that must not be written, because a peer might read something
// else out of it.
type InvalidRequestError struct {
	// Field is the part of the request, or the name of the header.
	Field string
}

// Error implements error.
func (e *InvalidRequestError) Error() string {
	return fmt.Sprintf("request has an invalid %q", e.Field)
}

// Validate returns an *InvalidRequestError if the method, target, host or a header could be read as
// anything but themselves, or if a header concerns the connection.
func (r *Request) Validate() error {
	switch {
	case !httpconn.IsToken(r.Method):
		return &InvalidRequestError{Field: "method"}
	case r.Target == "" || !isVisible(r.Target):
		return &InvalidRequestError{Field: "target"}
	case !isVisible(r.Host):
		return &InvalidRequestError{Field: "host"}
	}
	return ValidateHeader(r.Header)
}

// ValidateHeader returns an *InvalidRequestError for a header that must not be forwarded.
func ValidateHeader(header http.Header) error {
	for name, values := range header {
		if !httpconn.IsToken(name) || isConnectionHeader(name) {
			return &InvalidRequestError{Field: name}
		}
		for _, value := range values {
			if !isFieldValue(value) {
				return &InvalidRequestError{Field: name}
			}
		}
	}
	return nil
}

// ValidateTarget returns an *InvalidRequestError for a target (path and query) that must not be
// forwarded.
func ValidateTarget(target string) error {
	if !strings.HasPrefix(target, "/") || !isVisible(target) {
		return &InvalidRequestError{Field: "target"}
	}
	return nil
}

func isConnectionHeader(name string) bool {
	for _, listed := range connectionHeaders {
		if strings.EqualFold(name, listed) {
			return true
		}
	}
	return false
}

const (
	lastControl = 0x20
	deleteChar  = 0x7f
)

// isVisible reports whether a text has neither spaces nor control characters.
func isVisible(text string) bool {
	for i := range len(text) {
		if char := text[i]; char <= lastControl || char == deleteChar {
			return false
		}
	}
	return true
}

// isFieldValue reports whether a text has no control characters but tabs.
func isFieldValue(text string) bool {
	for i := range len(text) {
		if char := text[i]; char < lastControl && char != '\t' || char == deleteChar {
			return false
		}
	}
	return true
}
