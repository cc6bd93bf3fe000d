package command

import "fmt"

// NotInForceError means that a generation was written but has not reached
// every node in time.
type NotInForceError struct {
	Generation uint64
	Behind     []string
}

// Error names the nodes that are behind.
func (e *NotInForceError) Error() string {
	return fmt.Sprintf("generation %d is written but not in force yet on %v", e.Generation, e.Behind)
}

// NotServingError means that a generation is in force but engines that it
// declares cannot serve yet, as some node sees them.
type NotServingError struct {
	Generation uint64
	// Engines are the engines, each with the node that sees it so.
	Engines []string
}

// Error names the engines.
func (e *NotServingError) Error() string {
	return fmt.Sprintf("generation %d is in force, but these engines cannot serve yet: %v", e.Generation, e.Engines)
}
