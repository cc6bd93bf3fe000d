package directory

import (
	"net"
	"strings"

	"github.com/pathtally/pathtally/internal/callers/tenancy"
)

// Configuration is one version of what operators declare. It is immutable.
type Configuration struct {
	Version  uint64
	Routes   []Route
	Services map[string]Service
	Limits   Limits
	// Tenants finds tenants by their keys; nil where none are declared.
	Tenants *tenancy.Table
	// TenantFindings are the parts of the declared tenants that cannot be used.
	TenantFindings []*tenancy.DeclarationError

	byHost map[string][]*Route
	// declaresHomes says that some route or tenant has homes.
	declaresHomes bool
}

// Index prepares the lookup of routes and homes; call it once before these.
func (c *Configuration) Index() {
	c.byHost = map[string][]*Route{}
	c.declaresHomes = c.Tenants.DeclaresHomes()
	for i := range c.Routes {
		route := &c.Routes[i]
		c.declaresHomes = c.declaresHomes || len(route.Homes) > 0
		host := strings.ToLower(route.Host)
		c.byHost[host] = append(c.byHost[host], route)
	}
}

// Lookup returns the route of a host whose prefix begins the path and is
// longest, or nil.
func (c *Configuration) Lookup(host, path string) *Route {
	var best *Route
	for _, route := range c.byHost[hostName(host)] {
		if strings.HasPrefix(path, route.Prefix) && (best == nil || len(route.Prefix) > len(best.Prefix)) {
			best = route
		}
	}
	return best
}

// JobCallsArePublic reports whether calls about the batch jobs of a host need no
// key: it has routes that take batch jobs, and all of them are public.
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

// hostName is a Host header in lower case and without its port.
func hostName(host string) string {
	host = strings.ToLower(host)
	if name, _, err := net.SplitHostPort(host); err == nil {
		return name
	}
	return host
}
