package directory

import (
	"maps"
	"slices"

	"github.com/pathtally/pathtally/internal/replicas/residency"
)

// RestrictsRegions reports whether any route or tenant has allowed regions.
func (c *Configuration) RestrictsRegions() bool { return c != nil && c.restrictsRegions }

// AllowedRegions returns the allowed regions for a tenant's requests on a route. The route
// may be from an earlier configuration: its allowed regions apply if this configuration has
// no route of that name.
func (c *Configuration) AllowedRegions(route *Route, tenant string) residency.Set {
	if c == nil {
		return residency.Of(route.AllowedRegions, nil)
	}
	if c.restrictsRegions || len(route.AllowedRegions) > 0 {
		if current := c.RouteByName(route.Name); current != nil {
			route = current
		}
	}
	return residency.Of(route.AllowedRegions, c.Tenants.AllowedRegions(tenant))
}

// RouteByName returns the route with the given name, or nil.
func (c *Configuration) RouteByName(name string) *Route {
	for i := range c.Routes {
		if c.Routes[i].Name == name {
			return &c.Routes[i]
		}
	}
	return nil
}

// HasReplica reports whether a service of the route has a replica in the allowed regions. It
// returns true while the replicas are unknown.
func (v *View) HasReplica(route *Route, allowed residency.Set) bool {
	if !allowed.IsRestricted() || !v.ReplicasKnown {
		return true
	}
	for _, target := range route.Targets {
		plan := v.Plans[target.Service]
		if plan == nil {
			continue
		}
		for _, endpoint := range plan.Endpoints() {
			if allowed.Allows(endpoint.Region) {
				return true
			}
		}
	}
	return false
}

// RegionOf returns the region of a zone, or "" if unknown.
func (t *Table) RegionOf(zone string) string { return t.regions[zone] }

// logUnknownRegions logs the allowed regions of a configuration that are not in the settings.
// No replica matches such a region.
func (t *Table) logUnknownRegions(configuration *Configuration) {
	known := map[string]bool{}
	for _, region := range t.regions {
		known[region] = true
	}
	isUnknown := func(region string) bool { return !known[region] }
	for _, route := range configuration.Routes {
		if i := slices.IndexFunc(route.AllowedRegions, isUnknown); i >= 0 {
			t.logger.Error(nil, "unknown allowed region of route", "route", route.Name, "region", route.AllowedRegions[i], "version", configuration.Version)
		}
	}
	declared := configuration.Tenants.AllowedRegionsByTenant()
	for _, tenant := range slices.Sorted(maps.Keys(declared)) {
		if i := slices.IndexFunc(declared[tenant], isUnknown); i >= 0 {
			t.logger.Error(nil, "unknown allowed region of tenant", "tenant", tenant, "region", declared[tenant][i], "version", configuration.Version)
		}
	}
}
