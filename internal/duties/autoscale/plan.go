package autoscale

import (
	"maps"
	"time"

	"github.com/pathtally/pathtally/internal/store/objectstore"
)

// plan is what this node knows of the replicas of one service.
type plan struct {
	ledger ledger
	peak   peak
	// maxSeen is the greatest number of replicas seen in each zone before anything was
	// ordered.
	maxSeen map[string]int
	// orderedAt is when a zone's last order was sent, and fullUntil until when it
	// counts as having none to give.
	orderedAt map[string]time.Time
	fullUntil map[string]time.Time
	// accepted is how many replicas of each zone the platform has accepted an order for
	// from this process: an order that it may not have accepted is sent again.
	accepted map[string]int
	// fewerSince is since when a zone has been wanted smaller, without a break.
	fewerSince map[string]time.Time
}

func newPlan(store objectstore.Store, service string) *plan {
	return &plan{
		ledger: ledger{store: store, service: service}, maxSeen: map[string]int{},
		orderedAt: map[string]time.Time{}, fullUntil: map[string]time.Time{}, fewerSince: map[string]time.Time{},
		accepted: map[string]int{},
	}
}

// base returns how many replicas each zone held before anything was ordered.
func (p *plan) base() map[string]int {
	base := maps.Clone(p.maxSeen)
	for zone, count := range p.ledger.known.Base {
		base[zone] = max(base[zone], count)
	}
	return base
}

// due returns the wanted numbers that are ordered now.
func (p *plan) due(wanted []Wanted, now time.Time) []Wanted {
	var due []Wanted
	for _, want := range wanted {
		if isDue(p.facts(want, now)) {
			due = append(due, want)
		}
	}
	return due
}

// facts is what decides whether a wanted number is ordered now. It records since when
// fewer replicas have been wanted.
func (p *plan) facts(want Wanted, now time.Time) zoneFacts {
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

// current returns how many replicas a zone was last ordered to hold, or held before that.
func (p *plan) current(zone string) int {
	if ordered := p.ledger.known.Ordered[zone]; ordered > 0 {
		return ordered
	}
	return p.base()[zone]
}

// isUnconfirmed reports whether the last order for a zone may not have been accepted. The
// next holder of the lease repeats it: that changes nothing if it was.
func (p *plan) isUnconfirmed(zone string) bool {
	ordered := p.ledger.known.Ordered[zone]
	return ordered > 0 && p.accepted[zone] != ordered
}
