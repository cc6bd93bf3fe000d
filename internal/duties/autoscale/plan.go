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
	// mostSeen is the greatest number of replicas seen in each zone before anything was
	// ordered.
	mostSeen map[string]int
	// orderedAt is when a zone's last order was sent, and fullUntil until when it
	// is taken to have none to give.
	orderedAt map[string]time.Time
	fullUntil map[string]time.Time
	// taken is how many replicas of each zone the platform has taken an order for
	// from this process: an order that it may not have taken is sent again.
	taken map[string]int
	// fewerSince is since when a zone has been wanted smaller, without a break.
	fewerSince map[string]time.Time
}

func newPlan(store objectstore.Store, service string) *plan {
	return &plan{
		ledger: ledger{store: store, service: service}, mostSeen: map[string]int{},
		orderedAt: map[string]time.Time{}, fullUntil: map[string]time.Time{}, fewerSince: map[string]time.Time{},
		taken: map[string]int{},
	}
}

// base is how many replicas each zone held before anything was ordered.
func (p *plan) base() map[string]int {
	base := maps.Clone(p.mostSeen)
	for zone, count := range p.ledger.known.Base {
		base[zone] = max(base[zone], count)
	}
	return base
}

// changes are the wanted numbers that are worth an order now.
func (p *plan) changes(wanted []Wanted, now time.Time) []Wanted {
	var due []Wanted
	for _, want := range wanted {
		standing := p.standing(want.Zone)
		if want.Replicas >= standing {
			delete(p.fewerSince, want.Zone)
		} else if p.fewerSince[want.Zone].IsZero() {
			p.fewerSince[want.Zone] = now
		}
		if p.isDue(want, standing, now) {
			due = append(due, want)
		}
	}
	return due
}

// standing is how many replicas a zone was last ordered to hold, or held before that.
func (p *plan) standing(zone string) int {
	if ordered := p.ledger.known.Ordered[zone]; ordered > 0 {
		return ordered
	}
	return p.base()[zone]
}

// isDue tells whether a wanted number is worth an order now. Fewer replicas than stand
// have to be wanted for a while first.
func (p *plan) isDue(want Wanted, standing int, now time.Time) bool {
	switch {
	case now.Before(p.fullUntil[want.Zone]), now.Sub(p.orderedAt[want.Zone]) < leastGap:
		return false
	case p.isUnsettled(want.Zone):
		return true
	case want.Replicas >= standing:
		return want.Replicas-standing >= leastChange
	}
	return standing-want.Replicas >= leastChange && now.Sub(p.fewerSince[want.Zone]) >= shrinkAfter
}

// isUnsettled tells whether the last order for a zone may not have been taken. A
// further holder sends what stands once more: it changes nothing where it was taken.
func (p *plan) isUnsettled(zone string) bool {
	ordered := p.ledger.known.Ordered[zone]
	return ordered > 0 && p.taken[zone] != ordered
}
