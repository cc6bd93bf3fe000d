package autoscale

import "time"

const (
	// minChange is the minimum change of a zone's number of replicas that is ordered.
	minChange = 2
	// minOrderInterval is the minimum time between orders for a zone. Replicas take seconds
	// to start and warm up, and an order shows no effect before that.
	minOrderInterval = 8 * time.Second
	// shrinkDelay is the time for which the target must have been lower before the zone is
	// scaled down.
	shrinkDelay = 60 * time.Second
)

// zoneFacts holds the inputs of isDue.
type zoneFacts struct {
	// wanted is the target number of replicas of the zone, and current the number that was
	// ordered last, or the baseline before any order.
	wanted  int
	current int
	// isFull is set while the zone counts as having no replicas available.
	isFull bool
	// isUnconfirmed is set if the platform may not have accepted the last order.
	isUnconfirmed bool
	// sinceOrder is the time since the last order.
	sinceOrder time.Duration
	// fewerFor is how long wanted has been below current without interruption.
	fewerFor time.Duration
}

// isDue reports whether an order for a zone is sent now.
func isDue(zone zoneFacts) bool {
	switch {
	case zone.isFull || zone.sinceOrder < minOrderInterval:
		return false
	case zone.isUnconfirmed:
		return true
	case zone.wanted >= zone.current:
		return zone.wanted-zone.current >= minChange
	}
	return zone.current-zone.wanted >= minChange && zone.fewerFor >= shrinkDelay
}
