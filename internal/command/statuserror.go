package command

import "fmt"

// StatusError reports a failed HTTP request to a node.
type StatusError struct {
	Address string
	Cause   error
}

// Error implements error.
func (e *StatusError) Error() string { return fmt.Sprintf("node at %s: %v", e.Address, e.Cause) }

// Unwrap returns the underlying error.
func (e *StatusError) Unwrap() error { return e.Cause }

// httpStatusError is an HTTP response with a status other than 200.
type httpStatusError struct{ code int }

// Error implements error.
func (e *httpStatusError) Error() string { return fmt.Sprintf("HTTP status %d", e.code) }
