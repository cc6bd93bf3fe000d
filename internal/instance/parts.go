package instance

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"k8s.io/klog/v2"

	"github.com/pathtally/pathtally/internal/callers/exchange"
	"github.com/pathtally/pathtally/internal/callers/forward"
	"github.com/pathtally/pathtally/internal/callers/ingress"
	"github.com/pathtally/pathtally/internal/callers/quarantine"
	"github.com/pathtally/pathtally/internal/clock"
	"github.com/pathtally/pathtally/internal/cluster/peering"
	"github.com/pathtally/pathtally/internal/cluster/transport"
	"github.com/pathtally/pathtally/internal/duties/autoscale"
	"github.com/pathtally/pathtally/internal/duties/lease"
	"github.com/pathtally/pathtally/internal/duties/usage"
	"github.com/pathtally/pathtally/internal/duties/weightorders"
	"github.com/pathtally/pathtally/internal/jobs/batch"
	"github.com/pathtally/pathtally/internal/jobs/jobstore"
	"github.com/pathtally/pathtally/internal/replicas/directory"
	"github.com/pathtally/pathtally/internal/settings"
	"github.com/pathtally/pathtally/internal/store/storerelay"
	"github.com/pathtally/pathtally/internal/store/watchcache"
)

// parts are what a node is assembled of. They do not change once assembled is closed.
type parts struct {
	// settings are those of the start, live those in force.
	settings settings.Settings
	live     *liveSettings
	adapter  Adapter
	// clock counts suspensions of the machine.
	clock    clock.Clock
	logger   klog.Logger
	registry *prometheus.Registry
	started  time.Time
	// self names this process to others.
	self jobstore.Owner

	// The world outside, and the way to the replicas.
	directory *directory.Table
	pool      *exchange.Pool
	forwarder *forward.Forwarder
	// The other nodes, and the metadata store.
	transport *transport.Transport
	peers     *peering.Table
	lookup    *peerLookup
	source    *watchcache.Source
	store     *storerelay.Relay
	// What serves callers.
	quarantine *quarantine.Service
	jobs       *batch.Service
	handler    *ingress.Handler
	server     *http.Server
	// The duty lease, and what is done under it.
	lease   *lease.Lease
	keeper  *lease.Elector
	weights *weightorders.Coordinator
	// usage is nil where the platform takes no reports of it.
	usage *usage.Service
	// autoscale is nil where no replicas are ordered.
	autoscale *autoscale.Service
	// slowStart is nil where what replicas get while they warm up is not bounded.
	slowStart *slowStart

	// assembled is closed once all parts of the node are there.
	assembled chan struct{}
}
