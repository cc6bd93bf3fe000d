package autoscale

import "time"

const (
	// minChange is the minimum change of a zone's number of replicas that is ordered.
	minChange = 2
	// minOrderInterval is the minimum time between orders for a zone. Replicas take seconds
	// to start and warm up, and an order shows no effect before that.
	minOrderInterval = 8 * time.Second
	// scaleDownDelay is the time for which the target must have been lower before a zone is
	// scaled down.
	scaleDownDelay = 60 * time.Second
)

// dueInputs holds the inputs of isDue.
type dueInputs struct {
	// target is the target number of replicas of the zone, and current the number that was
	// ordered last, or the baseline before any order.
	target  int
	current int
	// isExhausted is set while the zone counts as having no replicas available.
	isExhausted bool
	// isUnconfirmed is set if the platform may not have accepted the last order.
	isUnconfirmed bool
	// sinceOrder is the time since the last order.
	sinceOrder time.Duration
	// lowerFor is how long target has been below current without interruption.
	lowerFor time.Duration
}

// isDue reports whether an order for a zone is sent now.
func isDue(inputs dueInputs) bool {
	switch {
	case inputs.isExhausted || inputs.sinceOrder < minOrderInterval:
		return false
	case inputs.isUnconfirmed:
		return true
	case inputs.target >= inputs.current:
		return inputs.target-inputs.current >= minChange
	}
	return inputs.current-inputs.target >= minChange && inputs.lowerFor >= scaleDownDelay
}
