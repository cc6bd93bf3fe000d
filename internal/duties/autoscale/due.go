package autoscale

import "time"

const (
	// minChange is the least difference, in replicas of a zone, that is ordered.
	minChange = 2
	// minOrderInterval is the least time between two orders for a zone: replicas take
	// seconds to boot and to warm up, and none shows before that.
	minOrderInterval = 8 * time.Second
	// shrinkDelay is how long fewer replicas must have been wanted before some are given
	// back.
	shrinkDelay = 60 * time.Second
)

// zoneFacts is what decides whether an order for a zone is sent now.
type zoneFacts struct {
	// wanted is how many replicas the zone is to hold, current how many it was last
	// ordered to hold, or held before that.
	wanted  int
	current int
	// isFull says that the zone had no further replica to give a moment ago.
	isFull bool
	// isUnconfirmed says that the last order may not have been taken.
	isUnconfirmed bool
	// sinceOrder is the time since the last order.
	sinceOrder time.Duration
	// fewerFor is how long fewer than current have been wanted without a break.
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
