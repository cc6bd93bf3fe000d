package settings

import (
	"fmt"
	"strings"
)

// Error reports an invalid setting.
type Error struct {
	// Setting is the name of the setting in the file.
	Setting string
	// Found is the invalid value.
	Found string
	// Allowed describes the valid values.
	Allowed string
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("setting %s: found %q, allowed: %s", e.Setting, e.Found, e.Allowed)
}

// Errors holds the errors of all invalid settings.
type Errors []*Error

// Error implements error. It puts each error on a separate line.
func (e Errors) Error() string {
	lines := make([]string, len(e))
	for i, err := range e {
		lines[i] = err.Error()
	}
	return strings.Join(lines, "\n")
}
