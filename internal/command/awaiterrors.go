package command

import "fmt"

// NotInForceError means that a generation was written but did not come into force at every
// node in time. Behind lists those nodes.
type NotInForceError struct {
	Generation uint64
	Behind     []string
}

// Error implements error.
func (e *NotInForceError) Error() string {
	return fmt.Sprintf("generation %d is written but not in force yet on %v", e.Generation, e.Behind)
}

// NotServingError means that a generation is in force but that some nodes report declared
// engines as not serving yet.
type NotServingError struct {
	Generation uint64
	// Engines lists these engines, each with the node that reports it.
	Engines []string
}

// Error implements error.
func (e *NotServingError) Error() string {
	return fmt.Sprintf("generation %d is in force, but these engines cannot serve yet: %v", e.Generation, e.Engines)
}
