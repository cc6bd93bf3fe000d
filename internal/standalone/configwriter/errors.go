package configwriter

import (
	"fmt"
	"strings"

	"github.com/ansel1/merry/v2"

	v1 "github.com/pathtally/pathtally/api/v1"
)

// ErrOutcomeUnknown means that the object API did not say in time whether the
// write took effect.
var ErrOutcomeUnknown = merry.Sentinel("the object API did not answer; whether the change took effect is unknown")

// ConflictError means that another writer changed the configuration first.
// Nothing of this write took effect.
type ConflictError struct {
	// Base is the generation that this write was computed from, Current the
	// one that stands, and Changes what differs between them.
	Base    uint64
	Current uint64
	Changes []v1.Change
}

// Error names the generations and the objects that changed.
func (e *ConflictError) Error() string {
	lines := []string{fmt.Sprintf("conflict: generation %d was written by another while this change was based on %d; it changed:", e.Current, e.Base)}
	for _, change := range e.Changes {
		lines = append(lines, "  "+change.String())
	}
	return strings.Join(lines, "\n")
}
