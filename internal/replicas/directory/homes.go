package directory

import (
	"maps"
	"slices"

	"github.com/pathtally/pathtally/internal/replicas/homes"
)

// DeclaresHomes reports whether the requests of some route or tenant may be served in
// some regions only.
func (c *Configuration) DeclaresHomes() bool { return c != nil && c.declaresHomes }

// HomesOf returns the regions in which a tenant's requests on a route may be served now.
// The route may be that of an earlier configuration, whose homes hold where this one
// does not declare it.
func (c *Configuration) HomesOf(route *Route, tenant string) homes.Set {
	if c == nil {
		return homes.Of(route.Homes, nil)
	}
	if c.declaresHomes || len(route.Homes) > 0 {
		if current := c.Named(route.Name); current != nil {
			route = current
		}
	}
	return homes.Of(route.Homes, c.Tenants.HomesOf(tenant))
}

// Named returns a route by its name, or nil.
func (c *Configuration) Named(name string) *Route {
	for i := range c.Routes {
		if c.Routes[i].Name == name {
			return &c.Routes[i]
		}
	}
	return nil
}

// HasReplica reports whether a service of a route has a replica in some regions, or may
// have one since the replicas are not known yet.
func (v *View) HasReplica(route *Route, allowed homes.Set) bool {
	if !allowed.Bound() || !v.ReplicasKnown {
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

// RegionOf returns the region of a zone, "" if it is not known.
func (t *Table) RegionOf(zone string) string { return t.regions[zone] }

// logUnknownHomes logs the homes of a configuration that name no region of the
// settings: nothing is served there, and where there are no others, nowhere.
func (t *Table) logUnknownHomes(configuration *Configuration) {
	known := map[string]bool{}
	for _, region := range t.regions {
		known[region] = true
	}
	isUnknown := func(region string) bool { return !known[region] }
	for _, route := range configuration.Routes {
		if i := slices.IndexFunc(route.Homes, isUnknown); i >= 0 {
			t.logger.Error(nil, "allowed region of a route is not known", "route", route.Name, "region", route.Homes[i], "version", configuration.Version)
		}
	}
	declared := configuration.Tenants.Homes()
	for _, tenant := range slices.Sorted(maps.Keys(declared)) {
		if i := slices.IndexFunc(declared[tenant], isUnknown); i >= 0 {
			t.logger.Error(nil, "allowed region of a tenant is not known", "tenant", tenant, "region", declared[tenant][i], "version", configuration.Version)
		}
	}
}
