package instance

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"k8s.io/klog/v2"

	"github.com/pathtally/pathtally/internal/clock"
	"github.com/pathtally/pathtally/internal/logging"
	"github.com/pathtally/pathtally/internal/settings"
	"github.com/pathtally/pathtally/internal/store/objectstore"
)

// Instance is one running node.
type Instance struct {
	name string
	live *liveSettings
	// reloading is held during a reload.
	reloading sync.Mutex
	logger    klog.Logger
	// parts is nil on an idle node, which serves nothing.
	parts *parts

	cancel   context.CancelFunc
	stopping atomic.Bool
	stopOnce sync.Once
	drained  chan struct{}
}

// Start opens the addresses of the settings and starts the node. Its error is a
// *settings.ListenError, or that of the machine's clock.
func Start(configured settings.Settings, adapter Adapter) (*Instance, error) {
	var duties Duties
	if configured.DutyAPI != "" {
		duties = adapter.Duties(configured.DutyAPI, configured.Duties)
	}
	counting, err := clock.NewBootTime()
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
	boundMemory(configured.MemoryMB)
	registry := prometheus.NewRegistry()
	adapter.Store = objectstore.NewMetered(adapter.Store, registry)
	instance.parts = &parts{
		settings: configured, live: instance.live, adapter: adapter, clock: counting, logger: instance.logger, registry: registry,
		started: time.Now(), assembled: make(chan struct{}),
	}
	instance.parts.assemble(ctx, opened.peer, duties)
	instance.serve(opened)
	instance.parts.run(ctx)
	instance.logger.Info("node started", "http", configured.HTTP, "readiness", configured.Readiness, "metrics", configured.Metrics,
		"peer", configured.Peer, "objectStore", configured.ObjectStore)
	return instance, nil
}

// Name returns the node's name.
func (i *Instance) Name() string { return i.name }

// Reload takes changed settings. Times and seeds come into force; a change of name, place
// or addresses needs a new start and is logged as such.
func (i *Instance) Reload(changed settings.Settings) {
	i.reloading.Lock()
	defer i.reloading.Unlock()
	next, needsRestart := i.live.reload(changed)
	i.logger.Info("settings reloaded", "grace", next.Grace.Std().String(), "dutyLease", next.DutyLease.Std().String(),
		"drain", next.Drain.Std().String(), "keyBound", next.KeyBound.Std().String(), "seeds", len(next.Seeds), "needsRestart", needsRestart)
	if i.parts == nil {
		return
	}
	i.parts.lease.SetTakeoverGap(next.DutyLease.Std())
	i.parts.peers.SetSeeds(next.Seeds)
}

// Drained is closed when a planned stop has ended.
func (i *Instance) Drained() <-chan struct{} { return i.drained }
