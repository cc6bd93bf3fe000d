package autoscale

import (
	"maps"
	"time"

	"github.com/pathtally/pathtally/internal/store/objectstore"
)

// plan is this node's state for one service.
type plan struct {
	ledger ledger
	peak   peak
	// maxSeen is the maximum number of replicas observed in each zone before any was
	// ordered.
	maxSeen map[string]int
	// orderedAt is the time of each zone's last order, and fullUntil the time until which
	// the zone counts as having no replicas available.
	orderedAt map[string]time.Time
	fullUntil map[string]time.Time
	// accepted is the number of replicas in the last order of this process that the
	// platform accepted, by zone. An order that may not have been accepted is sent again.
	accepted map[string]int
	// fewerSince is the time since which a zone's target has been below its current number
	// without interruption.
	fewerSince map[string]time.Time
}

func newPlan(store objectstore.Store, service string) *plan {
	return &plan{
		ledger: ledger{store: store, service: service}, maxSeen: map[string]int{},
		orderedAt: map[string]time.Time{}, fullUntil: map[string]time.Time{}, fewerSince: map[string]time.Time{},
		accepted: map[string]int{},
	}
}

// base returns the baseline: the number of replicas in each zone before any was ordered.
func (p *plan) base() map[string]int {
	base := maps.Clone(p.maxSeen)
	for zone, count := range p.ledger.known.Base {
		base[zone] = max(base[zone], count)
	}
	return base
}

// due returns the targets that are ordered now.
func (p *plan) due(wanted []ZoneTarget, now time.Time) []ZoneTarget {
	var due []ZoneTarget
	for _, want := range wanted {
		if isDue(p.facts(want, now)) {
			due = append(due, want)
		}
	}
	return due
}

// facts returns the inputs of isDue for a target, and updates fewerSince.
func (p *plan) facts(want ZoneTarget, now time.Time) zoneFacts {
	zone := zoneFacts{
		wanted: want.Replicas, current: p.current(want.Zone), isFull: now.Before(p.fullUntil[want.Zone]),
		isUnconfirmed: p.isUnconfirmed(want.Zone), sinceOrder: now.Sub(p.orderedAt[want.Zone]),
	}
	if zone.wanted >= zone.current {
		delete(p.fewerSince, want.Zone)
		return zone
	}
	if p.fewerSince[want.Zone].IsZero() {
		p.fewerSince[want.Zone] = now
	}
	zone.fewerFor = now.Sub(p.fewerSince[want.Zone])
	return zone
}

// current returns the number of replicas that was last ordered for a zone, or the baseline
// before any order.
func (p *plan) current(zone string) int {
	if ordered := p.ledger.known.Ordered[zone]; ordered > 0 {
		return ordered
	}
	return p.base()[zone]
}

// isUnconfirmed reports whether the platform may not have accepted the last order for a
// zone. The order is then sent again, which has no effect if it was accepted.
func (p *plan) isUnconfirmed(zone string) bool {
	ordered := p.ledger.known.Ordered[zone]
	return ordered > 0 && p.accepted[zone] != ordered
}
