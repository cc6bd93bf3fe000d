package devrun

import "strings"

// BrokenError means that a run has shown broken promises.
type BrokenError struct{ Promises []string }

// Error names each promise on a line of its own.
func (e *BrokenError) Error() string {
	return "broken: " + strings.Join(e.Promises, "\nbroken: ")
}
