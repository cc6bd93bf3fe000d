package test

import (
	"context"
	"encoding/json"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"k8s.io/klog/v2"

	"github.com/pathtally/pathtally/internal/callers/dispatch"
	"github.com/pathtally/pathtally/internal/callers/exchange"
	"github.com/pathtally/pathtally/internal/callers/forward"
	"github.com/pathtally/pathtally/internal/clock"
	"github.com/pathtally/pathtally/internal/cluster/peering"
	"github.com/pathtally/pathtally/internal/duties/lease"
	"github.com/pathtally/pathtally/internal/duties/weightorders"
	"github.com/pathtally/pathtally/internal/jobs/batch"
	"github.com/pathtally/pathtally/internal/jobs/jobstore"
	"github.com/pathtally/pathtally/internal/replicas/directory"
	"github.com/pathtally/pathtally/internal/store/watchcache"
	"github.com/pathtally/pathtally/internal/wire"
	"github.com/pathtally/pathtally/platform"
	"github.com/pathtally/pathtally/standin/metastore"
	"github.com/pathtally/pathtally/standin/replica"
)

// noPeers is the peer link of a node without peers.
type noPeers struct{}

func (noPeers) Send(string, wire.Message)        {}
func (noPeers) Broadcast([]string, wire.Message) {}

func (noPeers) Call(_ string, _ wire.Message, _ time.Duration, done func(wire.Message, error)) {
	done(nil, context.Canceled)
}

// virtualDeployment is one node with stand-ins, all on the virtual clock of a test.
type virtualDeployment struct {
	t       *testing.T
	store   *metastore.Store
	engines []*replica.Server
	jobs    *batch.Service
	// storeDown is set during an outage of the store.
	storeDown atomic.Bool
}

// deployVirtual starts the batch and weight-order services of a node and engines with the
// speed of the users' replicas.
func deployVirtual(ctx context.Context, t *testing.T, engines int) *virtualDeployment {
	d := &virtualDeployment{t: t, store: metastore.New()}
	network := replica.NewNetwork()
	started := 0
	start := func(config replica.Config, service string) *replica.Server {
		started++
		started := replica.Serve(config, network.Listen(fmt.Sprintf("10.0.0.%d:80", started)))
		t.Cleanup(started.Close)
		d.store.Write("servers", config.ID, started.Entry(service, "zone-a"))
		return started
	}
	for number := range engines {
		d.engines = append(d.engines, start(replica.Config{
			ID: fmt.Sprintf("engine-%d", number), Slots: 8, Model: draftModel, EventInterval: 30 * time.Millisecond, LoadTime: 900 * time.Millisecond,
		}, "engines"))
	}
	start(replica.Config{ID: "app", Slots: 64, ServiceTime: 30 * time.Millisecond}, "apps")
	(&platformDeployment{store: d.store}).configure(1)

	logger := klog.Background()
	table := directory.NewTable("node", "zone-a", nil, logger)
	decoder := platform.Decoder{}
	for kind, sink := range map[string]watchcache.Sink{
		"config":   directory.ConfigurationSink{Table: table, Decoder: decoder, Name: "main"},
		"servers":  directory.ReplicaSink{Table: table, Decoder: decoder, KeepMissing: func() time.Duration { return time.Second }},
		"versions": directory.VersionSink{Table: table, Decoder: decoder},
	} {
		go watchcache.NewInformer(d.store, kind, sink, logger).Run(ctx)
	}
	pool := exchange.NewPool(network.Dial)
	t.Cleanup(func() { pool.SetLimits(map[string]exchange.ConnectionLimits{}) })
	dispatcher := dispatch.New(pool, platform.Headers{}, nil)
	registry := prometheus.NewRegistry()
	peers := peering.NewTable(peering.Config{
		Node: "node", Address: "node", Store: d.store, Peers: noPeers{}, Logger: logger,
		FillHeartbeat: func(*wire.NodeBeat) {}, OnHeartbeat: func(*wire.NodeBeat) {},
	})
	d.jobs = batch.NewService(ctx, batch.Config{
		Clock: clock.Monotonic,
		Self:  jobstore.Owner{Node: "node", Address: "node", Incarnation: 1}, JobStore: jobstore.New(d.store), Codec: platform.Jobs{},
		Directory: table, Dispatcher: dispatcher, Peers: noPeers{}, PeerTable: peers, Logger: logger, Registry: registry,
		Forwarder: forward.New(forward.Config{Directory: table, Dispatcher: dispatcher, Logger: logger, Metrics: forward.NewMetrics(registry)}),
	})
	elector := lease.NewElector(lease.Config{
		Node: "node", Lease: lease.NewLease("node", "1", 0, d.store, clock.Monotonic), Clock: clock.Monotonic, Logger: logger, Nodes: peers.NodeNames,
		SinceHeartbeat: func(string) time.Duration { return time.Hour }, Announce: func([]string) {},
	})
	coordinator := weightorders.NewCoordinator(weightorders.Config{
		Elector: elector, Directory: table, Replicas: platform.NewReplicaClient(pool), Logger: logger, Registry: registry,
		RunningItems: d.jobs.RunningItems, Tolerance: d.jobs.VersionTolerance, Demand: d.jobs.Demand, OnChange: d.jobs.LearnVersion, Announce: func() {},
	})
	go d.jobs.Run(ctx)
	go coordinator.Run(ctx)
	time.Sleep(time.Second)
	return d
}

// runStep submits a job, reads all its results, ends it, and returns how long that took.
func (d *virtualDeployment) runStep(ctx context.Context, number, items int, minVersion int64) time.Duration {
	d.t.Helper()
	began := time.Now()
	job := fmt.Sprintf("job%d", number)
	var requests []map[string]any
	for item := range items {
		requests = append(requests, draftItem(job, item))
	}
	payload, err := json.Marshal(map[string]any{"step": number, "model": draftModel, "minVersion": minVersion, "requests": requests})
	if err != nil {
		d.t.Fatal(err)
	}
	submission, err := platform.Jobs{}.DecodeSubmission(payload)
	if err != nil {
		d.t.Fatal(err)
	}
	if err := d.jobs.Submit(ctx, &batch.SubmitRequest{ID: job, Route: "drafts", Host: draftHost, Payload: payload, Submission: submission}); err != nil {
		d.t.Fatalf("job %s: %v", job, err)
	}
	var results []itemResult
	for len(results) < items && time.Since(began) < time.Minute {
		page, err := d.jobs.Read(ctx, job, len(results), time.Second)
		if err != nil && !d.storeDown.Load() {
			d.t.Fatalf("read %s: %v", job, err)
		}
		if err != nil {
			// During the outage the node refuses reads that it cannot check against the store.
			time.Sleep(resultsReadInterval)
			continue
		}
		for _, result := range page.Results {
			results = append(results, itemResult{
				ID: result.ID, State: string(result.State), Message: result.Text, Versions: result.Versions, Score: result.Score,
			})
		}
	}
	(&platformDeployment{t: d.t}).checkResults(results, items, minVersion)
	if err := d.jobs.End(ctx, job); err != nil {
		d.t.Errorf("end %s: %v", job, err)
	}
	return time.Since(began)
}

// resultsReadInterval is the time between reads of a job.
const resultsReadInterval = 500 * time.Millisecond

// stepObjective is the longest time that a step may take.
const stepObjective = 7500 * time.Millisecond

func TestVirtualClockSteadyState(t *testing.T) {
	for _, test := range []struct {
		name           string
		engines, items int
	}{{"kotuku", 8, 100}, {"cauce", 9, 168}} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				d := deployVirtual(ctx, t, test.engines)
				for step := range 8 {
					if step > 0 {
						d.store.Write("versions", draftModel, map[string]any{"model": draftModel, "version": step + 1})
					}
					if took := d.runStep(ctx, step, test.items, max(1, int64(step-1))); took > stepObjective {
						t.Errorf("step %d took %s of virtual time, longer than the objective", step, took)
					}
				}
				(&platformDeployment{t: t, engines: d.engines}).checkFencingTokens()
			})
		})
	}
}

// outageRecoveryTime is how long after a store outage a step may take: for one retry of the
// calls in progress and one read interval.
const outageRecoveryTime = 1500 * time.Millisecond

// A store outage during a step must not lose results, and the step must complete soon after
// it.
func TestVirtualClockStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		d := deployVirtual(ctx, t, 2)
		time.AfterFunc(100*time.Millisecond, func() {
			d.storeDown.Store(true)
			d.store.SetFault(func(metastore.Call) metastore.Fault { return metastore.ResponseLost })
		})
		time.AfterFunc(6*time.Second, func() {
			d.store.SetFault(nil)
			d.storeDown.Store(false)
		})
		took := d.runStep(ctx, 0, 40, 1)
		if took < 6*time.Second {
			t.Errorf("step completed after %s, before the end of the outage, so the test proves nothing", took)
		}
		if took > 6*time.Second+outageRecoveryTime {
			t.Errorf("step completed %s after the end of the outage, too late", took-6*time.Second)
		}
	})
}
