package directory

import (
	"net"
	"strings"
	"time"

	"github.com/pathtally/pathtally/internal/callers/tenancy"
)

// RouteKind tells what may be repeated on a route.
type RouteKind string

// The kinds of routes.
const (
	// RouteSafe requests may run more than once.
	RouteSafe RouteKind = "safe"
	// RouteUnsafe requests run at most once.
	RouteUnsafe RouteKind = "unsafe"
	// RouteStream answers are series of events.
	RouteStream RouteKind = "stream"
	// RouteBatch takes batch jobs.
	RouteBatch RouteKind = "batch"
)

// Target is a service that takes a part of a route's requests.
type Target struct {
	Service string
	// Weight is the part in proportion to the other targets' weights.
	Weight int
}

// Route sends the requests of a host under a path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   RouteKind
	// Timeout is the longest time a request may be held; 0 for no bound.
	Timeout time.Duration
	// Objective is the time within which an answer is wanted.
	Objective time.Duration
	Targets   []Target
	// Attempts is the largest number of replicas one request may be sent to.
	Attempts int
	// Priority is the rank of the requests; 0 is the most urgent.
	Priority int
	// Public routes need no key.
	Public bool
	// Sticky requests carry a prompt that replicas keep the beginning of.
	Sticky bool
	// Resumable streams may be continued at another replica.
	Resumable bool
	// SingleVersion results may come from one weight version only.
	SingleVersion bool
	// CompletionObjective is the time for the whole of a batch job, and
	// Retention the time after which its items may be given up.
	CompletionObjective time.Duration
	Retention           time.Duration
	// Homes are the only regions in which the requests may be served; empty for all.
	Homes []string
}

// Serves tells whether a service is one of the route's targets.
func (r *Route) Serves(service string) bool {
	for _, target := range r.Targets {
		if target.Service == service {
			return true
		}
	}
	return false
}

// Engine is the model engine behind a service's replicas.
type Engine struct {
	Slots int
	// TokenCapacity is the memory for cached and running tokens.
	TokenCapacity int
	Models        []string
}

// Scaling bounds how many replicas of a service may be ordered, and gives what
// they cost.
type Scaling struct {
	// Least and Most bound the replicas of each zone.
	Least int
	Most  int
	// Boot is the time from an order until the replica serves.
	Boot time.Duration
	// SpotPrice is the price of replicas that may be taken away, as a part of the
	// price of the others; 0 where there are none.
	SpotPrice float64
	// ZonePrices is the price of a replica in each zone, in any unit.
	ZonePrices map[string]float64
}

// Service is a group of replicas that serve the same requests.
type Service struct {
	Name string
	// MaxConnections is what one replica accepts from all callers together.
	MaxConnections int
	// Engine is nil for services that are no model engines.
	Engine *Engine
	// WarmUp is for how long a replica serves slowly after it has started, and
	// WarmUpRate how many requests a second it bears meanwhile; 0 for no bound.
	WarmUp     time.Duration
	WarmUpRate float64
	// Scaling is nil where replicas cannot be ordered.
	Scaling *Scaling
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Configuration is one version of what operators declare. It is immutable.
type Configuration struct {
	Version  uint64
	Routes   []Route
	Services map[string]Service
	Limits   Limits
	// Tenants finds tenants by their keys; nil where none are declared.
	Tenants *tenancy.Table
	// TenantFindings is what of the declared tenants cannot be used.
	TenantFindings []*tenancy.DeclarationError

	byHost map[string][]*Route
	// declaresHomes is set where some route or tenant has homes.
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

// JobCallsArePublic tells whether calls about the batch jobs of a host need no
// key: those of all its routes that take batch jobs do not.
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
