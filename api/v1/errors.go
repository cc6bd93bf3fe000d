package v1

import (
	"fmt"
	"strings"
)

// ValueError is a single value that cannot be read.
type ValueError struct {
	Found   string
	Allowed string
}

// Error says what was found and what is allowed.
func (e *ValueError) Error() string {
	return fmt.Sprintf("found %q, allowed: %s", e.Found, e.Allowed)
}

// FieldError is one thing wrong in a declared object.
type FieldError struct {
	File    string
	Line    int
	Object  Key
	Path    string
	Found   string
	Allowed string
}

// Error gives file, line, field path, the value found and what is allowed.
func (e *FieldError) Error() string {
	place := e.Object.String()
	if e.File != "" {
		place = fmt.Sprintf("%s:%d: %s", e.File, e.Line, place)
	}
	return fmt.Sprintf("%s: %s: found %q, allowed: %s", place, e.Path, e.Found, e.Allowed)
}

// FieldErrors are all the findings of one run.
type FieldErrors []*FieldError

// Error gives one finding a line.
func (e FieldErrors) Error() string {
	lines := make([]string, len(e))
	for i, finding := range e {
		lines[i] = finding.Error()
	}
	return strings.Join(lines, "\n")
}

// ReadError is a file or folder that could not be read.
type ReadError struct {
	Path  string
	Cause error
}

// Error names the path and the cause.
func (e *ReadError) Error() string { return fmt.Sprintf("%s: %v", e.Path, e.Cause) }

// Unwrap returns the cause.
func (e *ReadError) Unwrap() error { return e.Cause }
