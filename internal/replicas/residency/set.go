package residency

import "slices"

// Set is the set of regions in which a request may be served. It is immutable. The zero Set
// allows every region.
type Set struct {
	// restricted is set if only the listed regions are allowed.
	restricted bool
	// regions may be shared with a configuration and must not be modified.
	regions []string
}

// Of returns the regions that both lists allow. An empty list allows every region. If the
// lists have no region in common, no region is allowed.
func Of(route, tenant []string) Set { return setOf(route).And(setOf(tenant)) }

// setOf returns the set for a configured list.
func setOf(regions []string) Set {
	if len(regions) == 0 {
		return Set{}
	}
	return Set{restricted: true, regions: regions}
}

// IsRestricted reports whether the set is restricted to some regions.
func (s Set) IsRestricted() bool { return s.restricted }

// Allows reports whether a region is allowed. A restricted set does not allow an unknown
// region, "".
func (s Set) Allows(region string) bool {
	return !s.restricted || (region != "" && slices.Contains(s.regions, region))
}

// Regions returns the allowed regions of a restricted set.
func (s Set) Regions() []string { return s.regions }

// NoRegions returns the set that allows no region.
func NoRegions() Set { return Set{restricted: true} }

// And returns the regions that both sets allow.
func (s Set) And(other Set) Set {
	switch {
	case !s.restricted:
		return other
	case !other.restricted:
		return s
	}
	both := NoRegions()
	for _, region := range s.regions {
		if slices.Contains(other.regions, region) {
			both.regions = append(both.regions, region)
		}
	}
	return both
}
