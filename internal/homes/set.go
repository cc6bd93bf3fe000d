package homes

import "slices"

// Set is the regions in which a request may be served. It is immutable; the zero
// Set is every region.
type Set struct {
	// bound is set where only some regions are allowed: of an empty list, none.
	bound   bool
	regions []string
}

// Of returns the regions that both lists allow. An empty list allows every region;
// two lists that share none allow nowhere.
func Of(route, tenant []string) Set {
	switch {
	case len(route) == 0 && len(tenant) == 0:
		return Set{}
	case len(route) == 0:
		return Set{bound: true, regions: slices.Clone(tenant)}
	case len(tenant) == 0:
		return Set{bound: true, regions: slices.Clone(route)}
	}
	both := Set{bound: true}
	for _, region := range route {
		if slices.Contains(tenant, region) {
			both.regions = append(both.regions, region)
		}
	}
	return both
}

// Bound tells whether some regions are not allowed.
func (s Set) Bound() bool { return s.bound }

// Allows tells whether a region is allowed. An unknown region, "", is none of the
// allowed ones where only some are.
func (s Set) Allows(region string) bool {
	return !s.bound || (region != "" && slices.Contains(s.regions, region))
}

// Regions lists the allowed regions where only some are.
func (s Set) Regions() []string { return s.regions }
