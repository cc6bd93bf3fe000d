package httpconn

import "fmt"

// InvalidStatusError reports a response whose status code is outside the range of HTTP, or 101.
type InvalidStatusError struct{ Code int }

// Error implements error.
func (e *InvalidStatusError) Error() string {
	return fmt.Sprintf("response has the invalid status %03d", e.Code)
}

// InvalidFieldNameError reports a response with a field name that is not a token.
type InvalidFieldNameError struct{ Name string }

// Error implements error.
func (e *InvalidFieldNameError) Error() string {
	return fmt.Sprintf("response has the invalid field name %q", e.Name)
}
