package instance

import (
	"context"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"k8s.io/klog/v2"

	"github.com/pathtally/pathtally/internal/callers/exchange"
	"github.com/pathtally/pathtally/internal/callers/forward"
	"github.com/pathtally/pathtally/internal/callers/ingress"
	"github.com/pathtally/pathtally/internal/callers/intake"
	"github.com/pathtally/pathtally/internal/callers/quarantine"
	"github.com/pathtally/pathtally/internal/clock"
	"github.com/pathtally/pathtally/internal/cluster/peering"
	"github.com/pathtally/pathtally/internal/cluster/transport"
	"github.com/pathtally/pathtally/internal/duties/autoscale"
	"github.com/pathtally/pathtally/internal/duties/lease"
	"github.com/pathtally/pathtally/internal/duties/usage"
	"github.com/pathtally/pathtally/internal/duties/weightorders"
	"github.com/pathtally/pathtally/internal/jobs/batch"
	"github.com/pathtally/pathtally/internal/jobs/cleanup"
	"github.com/pathtally/pathtally/internal/jobs/jobstore"
	"github.com/pathtally/pathtally/internal/replicas/directory"
	"github.com/pathtally/pathtally/internal/settings"
	"github.com/pathtally/pathtally/internal/store/storerelay"
	"github.com/pathtally/pathtally/internal/store/watchcache"
)

// components are the components of a node. The fields do not change after assembled is
// closed.
type components struct {
	// settings are those at the start, live the current ones.
	settings settings.Settings
	live     *liveSettings
	adapter  Adapter
	// clock keeps counting while the machine is suspended.
	clock    clock.Clock
	logger   klog.Logger
	registry *prometheus.Registry
	started  time.Time
	// resources are those of the process.
	resources resources
	// self identifies this process to other nodes.
	self jobstore.Owner

	// The directory of replicas, and the path of requests to them.
	directory *directory.Table
	pool      *exchange.Pool
	forwarder *forward.Forwarder
	// The other nodes, and the metadata store.
	transport *transport.Transport
	peers     *peering.Table
	lookup    *peerLookup
	source    *watchcache.Source
	store     *storerelay.Relay
	// The handling of callers' requests.
	quarantine *quarantine.Service
	jobs       *batch.Service
	handler    *ingress.Handler
	server     *http.Server
	// callers accepts the connections of callers. It is set once listening is closed.
	callers       *intake.Listener
	listening     chan struct{}
	intakeMetrics *intake.Metrics
	// cancelRequests ends the requests of callers that are in progress, with a cause.
	cancelRequests context.CancelCauseFunc
	// The duty lease, and the duties that require it.
	lease   *lease.Lease
	elector *lease.Elector
	weights *weightorders.Coordinator
	cleanup *cleanup.Service
	// usage is nil if the platform takes no usage reports.
	usage *usage.Service
	// autoscale is nil if this system orders no replicas.
	autoscale *autoscale.Service
	// slowStart is nil if requests to warming replicas are not limited.
	slowStart *slowStart

	// assembled is closed once all components exist.
	assembled chan struct{}
}
