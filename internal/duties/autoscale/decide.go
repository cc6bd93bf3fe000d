package autoscale

import (
	"cmp"
	"math"
	"slices"
)

// Decide returns the target number of replicas of each zone, sorted by zone. base is the
// baseline: the number of replicas in each zone before any was ordered. No target is below
// it, and the baseline of evacuated zones is added to the targets of other zones.
// Additional replicas are spread evenly over the zones, cheaper zones first.
func Decide(policy Policy, view *ServiceState, base map[string]int) []ZoneTarget {
	zones := zonesOf(base, view)
	wanted := make(map[string]*ZoneTarget, len(zones))
	open := make([]string, 0, len(zones))
	lost := 0
	for _, zone := range zones {
		wanted[zone] = &ZoneTarget{Zone: zone, Replicas: base[zone], Reason: ReasonBase}
		if view.Evacuated[zone] {
			lost += base[zone]
		} else if !view.Exhausted[zone] {
			open = append(open, zone)
		}
	}
	total, reason := target(policy, view)
	further := max(0, total-sum(base)) + lost
	if lost > 0 && further == lost {
		reason = ReasonEvacuation
	}
	spread(further, open, reason, wanted, view)
	decided := make([]ZoneTarget, 0, len(zones))
	for _, zone := range zones {
		decided = append(decided, *wanted[zone])
	}
	return decided
}

// target returns the total number of replicas that the policy requires, 0 without a policy.
func target(policy Policy, view *ServiceState) (int, Reason) {
	slots := float64(max(1, view.Slots))
	switch policy {
	case PolicySlots:
		return int(math.Ceil(float64(view.RunningItems) / slotTarget / slots)), ReasonUtilization
	case PolicyWork:
		return int(math.Ceil(float64(view.OpenItems) * workHeadroom / slots)), ReasonOpenItems
	}
	return 0, ReasonBase
}

// spread adds replicas to the open zones one by one, each to the zone with the fewest
// added so far, the cheapest one among equals. Scaling.Most limits each zone.
func spread(further int, open []string, reason Reason, wanted map[string]*ZoneTarget, view *ServiceState) {
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

// price returns the price of a replica in a zone, 1 if none is configured.
func price(view *ServiceState, zone string) float64 {
	if named, known := view.Scaling.ZonePrices[zone]; known {
		return named
	}
	return 1
}

// zonesOf returns the sorted names of the zones that have replicas or had some in the
// baseline.
func zonesOf(base map[string]int, view *ServiceState) []string {
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
