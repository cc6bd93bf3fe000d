package command

import (
	"fmt"

	v1 "github.com/pathtally/pathtally/api/v1"
)

// NotFoundError is an object or a node that does not exist.
type NotFoundError struct{ Key v1.Key }

// Error names what was looked for.
func (e *NotFoundError) Error() string { return fmt.Sprintf("%s not found", e.Key) }
