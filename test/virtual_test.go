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

// alone is the link of a node without peers.
type alone struct{}

func (alone) Send(string, wire.Message)        {}
func (alone) Broadcast([]string, wire.Message) {}

func (alone) Call(_ string, _ wire.Message, _ time.Duration, done func(wire.Message, error)) {
	done(nil, context.Canceled)
}

// virtualDay is a node before stand-ins, all on the virtual clock of a test.
type virtualDay struct {
	t       *testing.T
	store   *metastore.Store
	engines []*replica.Server
	jobs    *batch.Service
	// storeAway is set while the store answers nobody.
	storeAway atomic.Bool
}

// startVirtualDay starts a node's duties with engines that take as long as the
// users' replicas do.
func startVirtualDay(ctx context.Context, t *testing.T, engines int) *virtualDay {
	day := &virtualDay{t: t, store: metastore.New()}
	network := replica.NewNetwork()
	started := 0
	start := func(config replica.Config, service string) *replica.Server {
		started++
		started := replica.Serve(config, network.Listen(fmt.Sprintf("10.0.0.%d:80", started)))
		t.Cleanup(started.Close)
		day.store.Write("servers", config.ID, started.Entry(service, "zone-a"))
		return started
	}
	for number := range engines {
		day.engines = append(day.engines, start(replica.Config{
			ID: fmt.Sprintf("engine-%d", number), Slots: 8, Model: draftModel, EventInterval: 30 * time.Millisecond, LoadTime: 900 * time.Millisecond,
		}, "engines"))
	}
	start(replica.Config{ID: "app", Slots: 64, Work: 30 * time.Millisecond}, "apps")
	(&platformDeployment{store: day.store}).configure(1)

	logger := klog.Background()
	table := directory.NewTable("node", "zone-a", nil, logger)
	decoder := platform.Decoder{}
	for kind, sink := range map[string]watchcache.Sink{
		"config":   directory.ConfigurationSink{Table: table, Decoder: decoder, Name: "main"},
		"servers":  directory.ReplicaSink{Table: table, Decoder: decoder, KeepMissing: func() time.Duration { return time.Second }},
		"versions": directory.VersionSink{Table: table, Decoder: decoder},
	} {
		go watchcache.NewInformer(day.store, kind, sink, logger).Run(ctx)
	}
	pool := exchange.NewPool(network.Dial)
	t.Cleanup(func() { pool.SetLimits(map[string]exchange.ConnectionLimits{}) })
	dispatcher := dispatch.New(pool, platform.Headers{}, nil)
	registry := prometheus.NewRegistry()
	peers := peering.NewTable(peering.Config{
		Node: "node", Address: "node", Store: day.store, Peers: alone{}, Logger: logger,
		FillHeartbeat: func(*wire.NodeBeat) {}, OnHeartbeat: func(*wire.NodeBeat) {},
	})
	day.jobs = batch.NewService(ctx, batch.Config{
		Clock: clock.Monotonic,
		Self:  jobstore.Owner{Node: "node", Address: "node", Incarnation: 1}, JobStore: jobstore.New(day.store), Codec: platform.Jobs{},
		Directory: table, Dispatcher: dispatcher, Peers: alone{}, PeerTable: peers, Logger: logger, Registry: registry,
		Forwarder: forward.New(forward.Config{Directory: table, Dispatcher: dispatcher, Logger: logger, Metrics: forward.NewMetrics(registry)}),
	})
	keeper := lease.NewElector(lease.Config{
		Node: "node", Lease: lease.NewLease("node", "1", 0, day.store, clock.Monotonic), Clock: clock.Monotonic, Logger: logger, Nodes: peers.NodeNames,
		SinceHeartbeat: func(string) time.Duration { return time.Hour }, Announce: func([]string) {},
	})
	coordinator := weightorders.NewCoordinator(weightorders.Config{
		Elector: keeper, Directory: table, Replicas: platform.NewReplicaClient(pool), Logger: logger, Registry: registry,
		RunningItems: day.jobs.RunningItems, Tolerance: day.jobs.VersionTolerance, Demand: day.jobs.Demand, OnChange: day.jobs.LearnVersion, Announce: func() {},
	})
	go day.jobs.Run(ctx)
	go coordinator.Run(ctx)
	time.Sleep(time.Second)
	return day
}

// step submits a job and reads it to its end, and returns how long that took.
func (d *virtualDay) step(ctx context.Context, number, items int, least int64) time.Duration {
	d.t.Helper()
	began := time.Now()
	job := fmt.Sprintf("job%d", number)
	var requests []map[string]any
	for item := range items {
		requests = append(requests, draftItem(job, item))
	}
	payload, err := json.Marshal(map[string]any{"step": number, "model": draftModel, "minVersion": least, "requests": requests})
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
	var results []listed
	for len(results) < items && time.Since(began) < time.Minute {
		page, err := d.jobs.Read(ctx, job, len(results), time.Second)
		if err != nil && !d.storeAway.Load() {
			d.t.Fatalf("read %s: %v", job, err)
		}
		if err != nil {
			// A node that cannot look at the store for what it may have listed says so.
			time.Sleep(readPeriod)
			continue
		}
		for _, result := range page.Results {
			results = append(results, listed{
				ID: result.ID, State: string(result.State), Message: result.Text, Versions: result.Versions, Score: result.Score,
			})
		}
	}
	(&platformDeployment{t: d.t}).check(results, items, least)
	if err := d.jobs.End(ctx, job); err != nil {
		d.t.Errorf("end %s: %v", job, err)
	}
	return time.Since(began)
}

// readPeriod is about how often trainers read a job.
const readPeriod = 500 * time.Millisecond

// objective is the time within which the users want a step read.
const objective = 7500 * time.Millisecond

func TestCalmDayOnTheVirtualClock(t *testing.T) {
	for _, test := range []struct {
		name           string
		engines, items int
	}{{"kotuku", 8, 100}, {"cauce", 9, 168}} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				day := startVirtualDay(ctx, t, test.engines)
				for step := range 8 {
					if step > 0 {
						day.store.Write("versions", draftModel, map[string]any{"model": draftModel, "version": step + 1})
					}
					if took := day.step(ctx, step, test.items, max(1, int64(step-1))); took > objective {
						t.Errorf("step %d took %s of virtual time", step, took)
					}
				}
				(&platformDeployment{t: t, engines: day.engines}).checkOrders()
			})
		})
	}
}

// outageSlack is how long after an outage of the store a step may take: a try of what
// was on its way, and a reader that comes back.
const outageSlack = 1500 * time.Millisecond

// An outage of the store in the middle of a step loses nothing, and the step is
// whole once the store is back.
func TestOutageOnTheVirtualClock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		day := startVirtualDay(ctx, t, 2)
		time.AfterFunc(100*time.Millisecond, func() {
			day.storeAway.Store(true)
			day.store.SetFault(func(metastore.Call) metastore.Fault { return metastore.Unanswered })
		})
		time.AfterFunc(6*time.Second, func() {
			day.store.SetFault(nil)
			day.storeAway.Store(false)
		})
		took := day.step(ctx, 0, 40, 1)
		if took < 6*time.Second {
			t.Errorf("the step was whole after %s, so the outage did not strike it", took)
		}
		if took > 6*time.Second+outageSlack {
			t.Errorf("the step was whole %s after the outage", took-6*time.Second)
		}
	})
}
