package autoscale

import (
	"cmp"
	"math"
	"slices"
)

// Decide returns how many replicas each zone is to hold, by zone. Base is how many
// the zones held before anything was ordered: never fewer than that are wanted, and
// what evacuated zones held is wanted in the others. Further replicas go where they are
// cheapest, spread so that no zone has more than its share of them.
func Decide(policy Policy, view *View, base map[string]int) []Wanted {
	zones := zonesOf(base, view)
	wanted := make(map[string]*Wanted, len(zones))
	open := make([]string, 0, len(zones))
	lost := 0
	for _, zone := range zones {
		wanted[zone] = &Wanted{Zone: zone, Replicas: base[zone], Reason: ReasonBase}
		if view.Evacuated[zone] {
			lost += base[zone]
		} else if !view.Full[zone] {
			open = append(open, zone)
		}
	}
	total, reason := target(policy, view)
	further := max(0, total-sum(base)) + lost
	if lost > 0 && further == lost {
		reason = ReasonReplace
	}
	spread(further, open, reason, wanted, view)
	decided := make([]Wanted, 0, len(zones))
	for _, zone := range zones {
		decided = append(decided, *wanted[zone])
	}
	return decided
}

// target returns how many replicas the work needs in all.
func target(policy Policy, view *View) (int, Reason) {
	slots := float64(max(1, view.Slots))
	switch policy {
	case PolicySlots:
		return int(math.Ceil(float64(view.Running) / slotTarget / slots)), ReasonShare
	case PolicyWork:
		return int(math.Ceil(float64(view.Open) * workHeadroom / slots)), ReasonWork
	}
	return 0, ReasonBase
}

// spread adds replicas to open zones one by one: each time to the zone with the
// fewest further ones, the cheapest of these.
func spread(further int, open []string, reason Reason, wanted map[string]*Wanted, view *View) {
	added := map[string]int{}
	for ; further > 0; further-- {
		room := slices.DeleteFunc(slices.Clone(open), func(zone string) bool {
			return view.Scaling.Most > 0 && wanted[zone].Replicas >= view.Scaling.Most
		})
		if len(room) == 0 {
			return
		}
		next := slices.MinFunc(room, func(a, b string) int {
			return cmp.Or(cmp.Compare(added[a], added[b]), cmp.Compare(price(view, a), price(view, b)), cmp.Compare(a, b))
		})
		added[next]++
		wanted[next].Replicas++
		wanted[next].Reason = reason
	}
}

// price returns what a replica costs in a zone; one that names none costs the unit.
func price(view *View, zone string) float64 {
	if named, known := view.Scaling.ZonePrices[zone]; known {
		return named
	}
	return 1
}

// zonesOf lists the zones that hold replicas or held some, in order.
func zonesOf(base map[string]int, view *View) []string {
	var zones []string
	for zone := range base {
		zones = append(zones, zone)
	}
	for zone := range view.Present {
		if _, known := base[zone]; !known {
			zones = append(zones, zone)
		}
	}
	slices.Sort(zones)
	return zones
}

func sum(counts map[string]int) int {
	total := 0
	for _, count := range counts {
		total += count
	}
	return total
}
