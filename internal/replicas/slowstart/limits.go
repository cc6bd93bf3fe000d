package slowstart

import (
	"math"
	"time"
)

const (
	// Span is for how long after it has sent its question an asker may use what it is
	// allotted: several ways between zones, so that items find a place in it, and short
	// beside a second, since whatever is alive counts against the bound.
	Span = 500 * time.Millisecond
	// sendReserve is added to the time for which an allotment counts: for clocks that
	// differ in rate by a twentieth, and for the way from a gate to the network, the
	// making of a connection included.
	sendReserve = 250 * time.Millisecond
	// second is the span that the platform's bound speaks of.
	second = time.Second
	// Window is for how long an allotment counts: all that can be sent within one
	// second was asked for within this time.
	Window = second + Span + sendReserve
	// margin is how many requests below the bound the allotments stay, for requests
	// that leave a node late since it stood still.
	margin = 2
)

// Limits are what the platform lets replicas get while they warm up.
type Limits struct {
	// Overage is how many times the rate that a replica bears it may get in a second,
	// and Slack how many requests more.
	Overage float64
	Slack   float64
}

// bound is how many requests a replica that bears a rate, in requests a second, may
// get in any second.
func (l Limits) bound(rate float64) int { return int(math.Floor(rate*l.Overage + l.Slack)) }

// most is how many requests to such a replica may be allotted in any window.
func (l Limits) most(rate float64) int {
	if rate <= 0 {
		return 0
	}
	sustained := int(math.Floor(rate * Window.Seconds()))
	return max(0, min(max(1, sustained), l.bound(rate)-margin))
}
