package routing

import "fmt"

// Reason is the reason why a filter refuses an endpoint.
type Reason string

// The reasons, in the order of the filters in RequestChain.
const (
	ReasonRole           Reason = "of another role"
	ReasonUnavailable    Reason = "leaving, silent or asked before"
	ReasonEvacuated      Reason = "in an evacuated zone"
	ReasonOutsideRegions Reason = "outside the allowed regions"
	ReasonVersion        Reason = "on older weights"
	ReasonSlowStart      Reason = "warming up"
	ReasonFull           Reason = "full"
)

// NoEligibleEndpointError means that the filters refuse every endpoint of a plan. It wraps
// ErrNoEngineAvailable.
type NoEligibleEndpointError struct {
	// Reason is the result of Chain.Explain.
	Reason Reason
}

// Error implements error.
func (e *NoEligibleEndpointError) Error() string {
	return fmt.Sprintf("%v: those left are %s", ErrNoEngineAvailable, e.Reason)
}

// Unwrap returns ErrNoEngineAvailable.
func (e *NoEligibleEndpointError) Unwrap() error { return ErrNoEngineAvailable }
