package instance

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
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
	"github.com/pathtally/pathtally/internal/replicas/directory"
	"github.com/pathtally/pathtally/internal/settings"
	"github.com/pathtally/pathtally/internal/store/objectstore"
	"github.com/pathtally/pathtally/internal/store/storerelay"
	"github.com/pathtally/pathtally/internal/store/watchcache"
)

// Instance is one running node.
type Instance struct {
	settings settings.Settings
	// current are the settings with the changes since the start.
	current     atomic.Pointer[settings.Settings]
	reloadMutex sync.Mutex

	adapter Adapter
	// clock counts suspensions of the machine; what proves something by time reads it.
	clock     clock.Clock
	logger    klog.Logger
	registry  *prometheus.Registry
	directory *directory.Table
	source    *watchcache.Source
	store     *storerelay.Relay
	pool      *exchange.Pool
	forwarder *forward.Forwarder
	// quarantine keeps requests that crash replicas from further ones.
	quarantine *quarantine.Service
	handler    *ingress.Handler
	front      *http.Server
	transport  *transport.Transport
	peers      *peering.Table
	jobs       *batch.Service
	lease      *lease.Lease
	duty       *lease.Keeper
	weights    *weightorders.Coordinator
	// usage is nil where the platform takes no reports of it.
	usage *usage.Service
	// autoscale is nil where no replicas are ordered.
	autoscale *autoscale.Service
	// slowStart is nil where what replicas get while they warm up is not bounded.
	slowStart *slowStart

	// assembled is closed once all parts of the node are there.
	assembled chan struct{}

	cancel   context.CancelFunc
	duties   sync.WaitGroup
	stopping atomic.Bool
	stopOnce sync.Once
	drained  chan struct{}
	started  time.Time
}

// Start opens the addresses of the settings and starts the node.
func Start(configured settings.Settings, adapter Adapter) (*Instance, error) {
	var duties Duties
	if configured.DutyAPI != "" {
		duties = adapter.Duties(configured.DutyAPI, configured.Duties)
	}
	counting, err := clock.Boot()
	if err != nil {
		return nil, err
	}
	opened := &listeners{}
	if !configured.Idle {
		if err := opened.open(&configured); err != nil {
			return nil, err
		}
	}
	instance := &Instance{
		settings: configured, adapter: adapter, clock: counting, logger: nodeLogger(configured.Node, configured.Zone),
		registry: prometheus.NewRegistry(), drained: make(chan struct{}), assembled: make(chan struct{}), started: time.Now(),
	}
	instance.adapter.Store = objectstore.NewMetered(adapter.Store, instance.registry)
	instance.current.Store(&instance.settings)
	ctx, cancel := context.WithCancel(context.Background())
	instance.cancel = cancel
	if configured.Idle {
		instance.logger.Info("node started", "idle", true)
		return instance, nil
	}
	instance.boundMemory()
	instance.assemble(ctx, opened.peer, duties)
	close(instance.assembled)
	instance.serve(opened)
	instance.runDuties(ctx)
	instance.logger.Info("node started", "http", configured.HTTP, "readiness", configured.Readiness, "metrics", configured.Metrics,
		"peer", configured.Peer, "objectStore", configured.ObjectStore)
	return instance, nil
}

// Name returns the node's name.
func (i *Instance) Name() string { return i.settings.Node }
