package autoscale

import (
	"cmp"
	"math"
	"slices"
)

// Decide returns the target number of replicas of each zone, sorted by zone. baseline is the
// number of replicas in each zone before any was ordered. No target is below it, and the
// baseline of evacuated zones is added to the targets of other zones. Additional replicas
// are spread evenly over the zones, cheaper zones first.
func Decide(policy Policy, state *ServiceState, baseline map[string]int) []ZoneTarget {
	zones := zonesOf(baseline, state)
	targets := make(map[string]*ZoneTarget, len(zones))
	available := make([]string, 0, len(zones))
	evacuated := 0
	for _, zone := range zones {
		targets[zone] = &ZoneTarget{Zone: zone, Replicas: baseline[zone], Reason: ReasonBase}
		if state.Evacuated[zone] {
			evacuated += baseline[zone]
		} else if !state.Exhausted[zone] {
			available = append(available, zone)
		}
	}
	total, reason := totalReplicas(policy, state)
	additional := max(0, total-sum(baseline)) + evacuated
	if evacuated > 0 && additional == evacuated {
		reason = ReasonEvacuation
	}
	spread(additional, available, reason, targets, state)
	decided := make([]ZoneTarget, 0, len(zones))
	for _, zone := range zones {
		decided = append(decided, *targets[zone])
	}
	return decided
}

// totalReplicas returns the total number of replicas that the policy requires, 0 without a
// policy.
func totalReplicas(policy Policy, state *ServiceState) (int, Reason) {
	slots := float64(max(1, state.Slots))
	switch policy {
	case PolicySlots:
		return int(math.Ceil(float64(state.RunningItems) / targetUtilization / slots)), ReasonUtilization
	case PolicyWork:
		return int(math.Ceil(float64(state.OpenItems) * slotsPerOpenItem / slots)), ReasonOpenItems
	}
	return 0, ReasonBase
}

// spread adds replicas to the available zones one by one, each to the zone with the fewest
// added so far, the cheapest one among equals. Scaling.Most limits each zone.
func spread(additional int, available []string, reason Reason, targets map[string]*ZoneTarget, state *ServiceState) {
	added := map[string]int{}
	for ; additional > 0; additional-- {
		belowLimit := slices.DeleteFunc(slices.Clone(available), func(zone string) bool {
			return state.Scaling.Most > 0 && targets[zone].Replicas >= state.Scaling.Most
		})
		if len(belowLimit) == 0 {
			return
		}
		next := slices.MinFunc(belowLimit, func(a, b string) int {
			return cmp.Or(cmp.Compare(added[a], added[b]), cmp.Compare(price(state, a), price(state, b)), cmp.Compare(a, b))
		})
		added[next]++
		targets[next].Replicas++
		targets[next].Reason = reason
	}
}

// price returns the price of a replica in a zone, 1 if none is configured.
func price(state *ServiceState, zone string) float64 {
	if configured, known := state.Scaling.ZonePrices[zone]; known {
		return configured
	}
	return 1
}

// zonesOf returns the sorted names of the zones that have replicas or had some in the
// baseline.
func zonesOf(baseline map[string]int, state *ServiceState) []string {
	var zones []string
	for zone := range baseline {
		zones = append(zones, zone)
	}
	for zone := range state.Present {
		if _, known := baseline[zone]; !known {
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
