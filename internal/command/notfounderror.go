package command

import (
	"fmt"

	v1 "github.com/pathtally/pathtally/api/v1"
)

// NotFoundError reports an object that does not exist.
type NotFoundError struct{ Key v1.Key }

// Error implements error.
func (e *NotFoundError) Error() string { return fmt.Sprintf("%s not found", e.Key) }
