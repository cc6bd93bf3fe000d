package directory

import (
	"net"
	"strings"

	"github.com/pathtally/pathtally/internal/callers/tenancy"
)

// Configuration is one version of the operator's configuration. It is immutable.
type Configuration struct {
	Version  uint64
	Routes   []Route
	Services map[string]Service
	Limits   Limits
	// Tenants looks up tenants by key. It is nil if no tenants are declared.
	Tenants *tenancy.Table
	// TenantFindings are the errors in the tenant declarations. The affected parts are
	// ignored.
	TenantFindings []*tenancy.DeclarationError

	byHost map[string][]*Route
	// restrictsRegions is set if any route or tenant has allowed regions.
	restrictsRegions bool
}

// Index builds the lookup tables for routes and allowed regions. It must be called once
// before any lookup.
func (c *Configuration) Index() {
	c.byHost = map[string][]*Route{}
	c.restrictsRegions = c.Tenants.RestrictsRegions()
	for i := range c.Routes {
		route := &c.Routes[i]
		c.restrictsRegions = c.restrictsRegions || len(route.AllowedRegions) > 0
		host := strings.ToLower(route.Host)
		c.byHost[host] = append(c.byHost[host], route)
	}
}

// Lookup returns the route of the host with the longest prefix of the path, or nil.
func (c *Configuration) Lookup(host, path string) *Route {
	var best *Route
	for _, route := range c.byHost[hostName(host)] {
		if strings.HasPrefix(path, route.Prefix) && (best == nil || len(route.Prefix) > len(best.Prefix)) {
			best = route
		}
	}
	return best
}

// JobCallsArePublic reports whether requests about the batch jobs of a host need no key:
// the host has batch routes, and all of them are public.
func (c *Configuration) JobCallsArePublic(host string) bool {
	public := false
	for _, route := range c.RoutesOf(host) {
		if route.Kind != RouteBatch {
			continue
		}
		if !route.Public {
			return false
		}
		public = true
	}
	return public
}

// RoutesOf returns the routes of a host.
func (c *Configuration) RoutesOf(host string) []*Route { return c.byHost[hostName(host)] }

// hostName returns a Host header in lower case without the port.
func hostName(host string) string {
	host = strings.ToLower(host)
	if name, _, err := net.SplitHostPort(host); err == nil {
		return name
	}
	return host
}
