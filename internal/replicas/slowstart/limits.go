package slowstart

import (
	"math"
	"time"
)

const (
	// Span is how long permits may be used, counted from when the client sent its request
	// for them: long enough for several round trips between zones, and short beside
	// boundPeriod, since unused permits count too.
	Span = 500 * time.Millisecond
	// sendAllowance covers clocks that differ in rate by a twentieth, and the time from a
	// gate to the network.
	sendAllowance = 250 * time.Millisecond
	// boundPeriod is the period to which the bound of Limits applies.
	boundPeriod = time.Second
	// Window is how long a permit counts in the ledger: all that can be sent within one
	// boundPeriod was requested within this time.
	Window = boundPeriod + Span + sendAllowance
	// reservedRequests is how many requests the permits stay below the bound, for requests
	// that leave late because their node stood still.
	reservedRequests = 2
)

// Limits are what replicas may get while they warm up.
type Limits struct {
	// Overage is the factor by which a replica may get more than its rate in a second.
	Overage float64
	// Slack is how many requests more it may get in a second.
	Slack float64
}

// perSecond returns how many requests a replica with a rate, in requests a second, may get
// in any second.
func (l Limits) perSecond(rate float64) int { return int(math.Floor(rate*l.Overage + l.Slack)) }

// perWindow returns how many requests to such a replica may be allotted in any Window: its
// rate, but at least one, and reservedRequests less than perSecond at most. 0 for a replica
// without a rate.
func (l Limits) perWindow(rate float64) int {
	if rate <= 0 {
		return 0
	}
	sustained := int(math.Floor(rate * Window.Seconds()))
	return max(0, min(max(1, sustained), l.perSecond(rate)-reservedRequests))
}
