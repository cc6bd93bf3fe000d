package settings

import (
	"fmt"
	"strings"
)

// Error is a setting that cannot be used.
type Error struct {
	// Setting is its name in the file.
	Setting string
	Found   string
	Allowed string
}

// Error names the setting, what was found and what is allowed.
func (e *Error) Error() string {
	return fmt.Sprintf("setting %s: found %q, allowed: %s", e.Setting, e.Found, e.Allowed)
}

// Errors are all findings of one check.
type Errors []*Error

// Error gives each finding a line of its own.
func (e Errors) Error() string {
	lines := make([]string, len(e))
	for i, finding := range e {
		lines[i] = finding.Error()
	}
	return strings.Join(lines, "\n")
}
