package autoscale

import (
	"maps"
	"time"

	"github.com/pathtally/pathtally/internal/store/objectstore"
)

// tracker holds this node's state for one service.
type tracker struct {
	ledger ledger
	peak   peak
	// maxSeen is the maximum number of replicas observed in each zone before any was
	// ordered.
	maxSeen map[string]int
	// orderedAt is the time of each zone's last order, and exhaustedUntil the time until
	// which the zone counts as having no replicas available.
	orderedAt      map[string]time.Time
	exhaustedUntil map[string]time.Time
	// accepted is the number of replicas in the last order of this process that the
	// platform accepted, by zone. An order that may not have been accepted is sent again.
	accepted map[string]int
	// lowerSince is the time since which a zone's target has been below its current number
	// without interruption.
	lowerSince map[string]time.Time
}

func newTracker(store objectstore.Store, service string) *tracker {
	return &tracker{
		ledger: ledger{store: store, service: service}, maxSeen: map[string]int{},
		orderedAt: map[string]time.Time{}, exhaustedUntil: map[string]time.Time{}, lowerSince: map[string]time.Time{},
		accepted: map[string]int{},
	}
}

// baseline returns the number of replicas in each zone before any was ordered. In a zone with a
// recorded order only the recorded baseline counts, because maxSeen may include replicas that
// another node ordered.
func (t *tracker) baseline() map[string]int {
	recorded := t.ledger.content
	baseline := map[string]int{}
	maps.Copy(baseline, recorded.Base)
	for zone, count := range t.maxSeen {
		if recorded.Ordered[zone] == 0 {
			baseline[zone] = max(baseline[zone], count)
		}
	}
	return baseline
}

// due returns the targets that are ordered now.
func (t *tracker) due(targets []ZoneTarget, now time.Time) []ZoneTarget {
	var due []ZoneTarget
	for _, target := range targets {
		if isDue(t.dueInputs(target, now)) {
			due = append(due, target)
		}
	}
	return due
}

// dueInputs returns the inputs of isDue for a target, and updates lowerSince.
func (t *tracker) dueInputs(target ZoneTarget, now time.Time) dueInputs {
	inputs := dueInputs{
		target: target.Replicas, current: t.current(target.Zone), isExhausted: now.Before(t.exhaustedUntil[target.Zone]),
		isUnconfirmed: t.isUnconfirmed(target.Zone), sinceOrder: now.Sub(t.orderedAt[target.Zone]),
	}
	if inputs.target >= inputs.current {
		delete(t.lowerSince, target.Zone)
		return inputs
	}
	if t.lowerSince[target.Zone].IsZero() {
		t.lowerSince[target.Zone] = now
	}
	inputs.lowerFor = now.Sub(t.lowerSince[target.Zone])
	return inputs
}

// current returns the number of replicas that was last ordered for a zone, or the baseline
// before any order.
func (t *tracker) current(zone string) int {
	if ordered := t.ledger.content.Ordered[zone]; ordered > 0 {
		return ordered
	}
	return t.baseline()[zone]
}

// isUnconfirmed reports whether the platform may not have accepted the last order for a
// zone. The order is then sent again, which has no effect if it was accepted.
func (t *tracker) isUnconfirmed(zone string) bool {
	ordered := t.ledger.content.Ordered[zone]
	return ordered > 0 && t.accepted[zone] != ordered
}
