package slowstart

import (
	"math"
	"time"
)

const (
	// PermitLifetime is how long permits are valid, counted from when the client sent the
	// request for them. It covers several round trips between zones, and is short relative
	// to limitPeriod because unused permits count too.
	PermitLifetime = 500 * time.Millisecond
	// sendAllowance covers clock rates that differ by up to 5%, and the time from a gate to
	// the network.
	sendAllowance = 250 * time.Millisecond
	// limitPeriod is the period to which Limits apply.
	limitPeriod = time.Second
	// Window is how long a permit counts in the ledger. All requests sent within one
	// limitPeriod use permits that were requested within this time.
	Window = limitPeriod + PermitLifetime + sendAllowance
	// reservedRequests is subtracted from the limit, for requests that are delayed between
	// the gate and the network because their node was paused.
	reservedRequests = 2
)

// Limits bound the number of requests to a replica that is warming up.
type Limits struct {
	// Overage is multiplied by the replica's rate.
	Overage float64
	// Slack is the number of additional requests per second.
	Slack float64
}

// perSecond returns the maximum number of requests in any second to a replica with the given
// rate, in requests per second.
func (l Limits) perSecond(rate float64) int { return int(math.Floor(rate*l.Overage + l.Slack)) }

// perWindow returns the maximum number of permits in any Window for a replica with the given
// rate: the number of requests at that rate, at least 1, but at most perSecond less
// reservedRequests. It returns 0 for a replica without a rate.
func (l Limits) perWindow(rate float64) int {
	if rate <= 0 {
		return 0
	}
	sustained := int(math.Floor(rate * Window.Seconds()))
	return max(0, min(max(1, sustained), l.perSecond(rate)-reservedRequests))
}
