package v1

import (
	"fmt"
	"strings"
)

// ValueError reports an invalid value.
type ValueError struct {
	Found   string
	Allowed string
}

// Error implements error.
func (e *ValueError) Error() string {
	return fmt.Sprintf("found %q, allowed: %s", e.Found, e.Allowed)
}

// FieldError reports an invalid field of a declared object.
type FieldError struct {
	File    string
	Line    int
	Object  Key
	Path    string
	Found   string
	Allowed string
}

// Error implements error. It includes file and line if they are known.
func (e *FieldError) Error() string {
	location := e.Object.String()
	if e.File != "" {
		location = fmt.Sprintf("%s:%d: %s", e.File, e.Line, location)
	}
	return fmt.Sprintf("%s: %s: found %q, allowed: %s", location, e.Path, e.Found, e.Allowed)
}

// FieldErrors holds all errors found in one validation.
type FieldErrors []*FieldError

// Error implements error, with one line for each finding.
func (e FieldErrors) Error() string {
	lines := make([]string, len(e))
	for i, finding := range e {
		lines[i] = finding.Error()
	}
	return strings.Join(lines, "\n")
}

// ReadError reports a file, folder or stored entry that cannot be read, or an object that
// cannot be encoded as an entry.
type ReadError struct {
	Path  string
	Cause error
}

// Error implements error.
func (e *ReadError) Error() string { return fmt.Sprintf("%s: %v", e.Path, e.Cause) }

// Unwrap returns the underlying error.
func (e *ReadError) Unwrap() error { return e.Cause }
