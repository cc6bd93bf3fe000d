package command

import "fmt"

// StatusError is a node whose status could not be read.
type StatusError struct {
	Address string
	Cause   error
}

// Error names the node's address and the cause.
func (e *StatusError) Error() string { return fmt.Sprintf("node at %s: %v", e.Address, e.Cause) }

// Unwrap returns the cause.
func (e *StatusError) Unwrap() error { return e.Cause }

// httpStatusError is an HTTP answer other than 200.
type httpStatusError struct{ code int }

// Error names the status.
func (e *httpStatusError) Error() string { return fmt.Sprintf("HTTP status %d", e.code) }
