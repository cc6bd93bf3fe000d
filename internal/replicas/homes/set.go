package homes

import "slices"

// Set is the regions in which a request may be served. It is immutable; the zero
// Set is every region.
type Set struct {
	// bound says that only the listed regions are allowed: none where the list is empty.
	bound bool
	// regions are those of a configuration, which is not changed.
	regions []string
}

// Of returns the regions that both lists allow. An empty list allows every region;
// two lists that share none allow nowhere.
func Of(route, tenant []string) Set { return listed(route).And(listed(tenant)) }

// listed returns the set of a declared list.
func listed(regions []string) Set {
	if len(regions) == 0 {
		return Set{}
	}
	return Set{bound: true, regions: regions}
}

// Bound reports whether some regions are not allowed.
func (s Set) Bound() bool { return s.bound }

// Allows reports whether a region is allowed. An unknown region, "", is none of the
// allowed ones where only some are.
func (s Set) Allows(region string) bool {
	return !s.bound || (region != "" && slices.Contains(s.regions, region))
}

// Regions returns the allowed regions where only some are.
func (s Set) Regions() []string { return s.regions }

// Nowhere returns the set of no region.
func Nowhere() Set { return Set{bound: true} }

// And returns the regions that both sets allow.
func (s Set) And(other Set) Set {
	switch {
	case !s.bound:
		return other
	case !other.bound:
		return s
	}
	both := Nowhere()
	for _, region := range s.regions {
		if slices.Contains(other.regions, region) {
			both.regions = append(both.regions, region)
		}
	}
	return both
}
