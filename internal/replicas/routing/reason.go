package routing

import "fmt"

// Reason is why a filter refuses an endpoint.
type Reason string

// The reasons, in the order of the filters in RequestChain.
const (
	ReasonRole        Reason = "of another role"
	ReasonUnavailable Reason = "leaving, silent or asked before"
	ReasonEvacuated   Reason = "in an evacuated zone"
	ReasonOutsideHome Reason = "outside the allowed regions"
	ReasonVersion     Reason = "on older weights"
	ReasonSlowStart   Reason = "warming up"
	ReasonFull        Reason = "full"
)

// LeftNobodyError is a pick for which no replica was left. It is an
// ErrNoEngineAvailable.
type NoneLeftError struct {
	// Reason is that of the filter that refused the last of them, as of Chain.Explain.
	Reason Reason
}

// Error gives the reason.
func (e *NoneLeftError) Error() string {
	return fmt.Sprintf("%v: those left are %s", ErrNoEngineAvailable, e.Reason)
}

// Unwrap returns ErrNoEngineAvailable.
func (e *NoneLeftError) Unwrap() error { return ErrNoEngineAvailable }
