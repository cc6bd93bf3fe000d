package instance

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"k8s.io/klog/v2"

	"github.com/pathtally/pathtally/internal/callers/intake"
	"github.com/pathtally/pathtally/internal/clock"
	"github.com/pathtally/pathtally/internal/logging"
	"github.com/pathtally/pathtally/internal/settings"
	"github.com/pathtally/pathtally/internal/store/objectstore"
)

// Instance is one running node.
type Instance struct {
	name string
	live *liveSettings
	// reloading serializes reloads.
	reloading sync.Mutex
	logger    klog.Logger
	// components is nil on an idle node, which serves nothing.
	components *components

	cancel   context.CancelFunc
	stopping atomic.Bool
	stopOnce sync.Once
	drained  chan struct{}
}

// Start listens on the addresses of the settings and starts the node. Its error is a
// *settings.ListenError, or that of the boot-time clock.
func Start(configured settings.Settings, adapter Adapter) (*Instance, error) {
	var duties DutyClients
	if configured.DutyAPI != "" {
		duties = adapter.NewDutyClients(configured.DutyAPI, configured.Duties)
	}
	bootClock, err := clock.NewBootTime()
	if err != nil {
		return nil, err
	}
	opened := &listeners{}
	if !configured.Idle {
		if err := opened.open(&configured); err != nil {
			return nil, err
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	instance := &Instance{
		name: configured.Node, live: newLiveSettings(configured), logger: logging.NodeLogger(configured.Node, configured.Zone),
		cancel: cancel, drained: make(chan struct{}),
	}
	if configured.Idle {
		instance.logger.Info("node started", "idle", true)
		return instance, nil
	}
	resources := resourcesOf(configured.MemoryMB)
	resources.limitMemory()
	registry := prometheus.NewRegistry()
	adapter.Store = objectstore.NewMetered(adapter.Store, registry)
	instance.components = &components{
		settings: configured, live: instance.live, adapter: adapter, clock: bootClock, logger: instance.logger, registry: registry,
		started: time.Now(), resources: resources, assembled: make(chan struct{}), listening: make(chan struct{}), intakeMetrics: intake.NewMetrics(registry),
	}
	instance.components.assemble(ctx, opened.peer, duties)
	instance.serve(opened)
	instance.components.run(ctx)
	instance.logger.Info("node started", "http", configured.HTTP, "readiness", configured.Readiness, "metrics", configured.Metrics,
		"peer", configured.Peer, "objectStore", configured.ObjectStore)
	return instance, nil
}

// Name returns the name of the node.
func (i *Instance) Name() string { return i.name }

// Reload applies changed settings: timeouts, bounds and seeds. Changes of other settings
// are logged as requiring a restart.
func (i *Instance) Reload(changed settings.Settings) {
	i.reloading.Lock()
	defer i.reloading.Unlock()
	next, needsRestart := i.live.reload(changed)
	i.logger.Info("settings reloaded", "grace", next.Grace.Std().String(), "dutyLease", next.DutyLease.Std().String(),
		"drain", next.Drain.Std().String(), "keyBound", next.KeyBound.Std().String(), "seeds", len(next.Seeds), "needsRestart", needsRestart)
	if i.components == nil {
		return
	}
	i.components.lease.SetTakeoverGap(next.DutyLease.Std())
	i.components.peers.SetSeeds(next.Seeds)
}

// Drained returns a channel that is closed when a planned stop has ended.
func (i *Instance) Drained() <-chan struct{} { return i.drained }
