package process

import (
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/pathtally/pathtally/internal/cluster/rendezvous"
	"github.com/pathtally/pathtally/internal/cluster/transport"
	"github.com/pathtally/pathtally/internal/settings"
	"github.com/pathtally/pathtally/internal/standalone/engine"
	"github.com/pathtally/pathtally/internal/standalone/gateway"
	"github.com/pathtally/pathtally/internal/standalone/loop"
	"github.com/pathtally/pathtally/internal/standalone/node"
	"github.com/pathtally/pathtally/internal/standalone/objectapi"
	"github.com/pathtally/pathtally/internal/standalone/quorum"
	"github.com/pathtally/pathtally/internal/standalone/recordlog"
	"github.com/pathtally/pathtally/internal/standalone/samplestore"
	"github.com/pathtally/pathtally/internal/standalone/scorer"
	"github.com/pathtally/pathtally/internal/wire"
)

// lingerLimit is how long a planned stop waits for callers to close their idle
// connections.
const lingerLimit = 5 * time.Second

// drainPollInterval is the time between checks of the requests in progress.
const drainPollInterval = 20 * time.Millisecond

// Process is one running node.
type Process struct {
	settings  settings.Settings
	loop      *loop.Loop
	transport *transport.Transport
	core      *node.Core
	server    *gateway.Server
	engines   *engine.HTTPClient
	objects   *objectapi.Client
	scorer    *scorer.Client
	log       *recordlog.FileLog
	logger    klog.Logger
	drained   chan struct{}
	stopOnce  sync.Once
	served    chan struct{}
}

// Start opens the addresses of the settings and starts the node. An address
// with port 0 lets the system choose; see PeerAddress and HTTPAddress.
func Start(configured settings.Settings) (*Process, error) {
	peerListener, err := net.Listen("tcp", configured.Peer)
	if err != nil {
		return nil, &settings.ListenError{Setting: "peer", Address: configured.Peer, Cause: err}
	}
	httpListener, err := net.Listen("tcp", configured.HTTP)
	if err != nil {
		peerListener.Close()
		return nil, &settings.ListenError{Setting: "http", Address: configured.HTTP, Cause: err}
	}
	configured.Peer, configured.HTTP = peerListener.Addr().String(), httpListener.Addr().String()
	process := &Process{
		settings: configured,
		loop:     loop.New(),
		logger:   nodeLogger(configured.Node, configured.Zone),
		drained:  make(chan struct{}),
		served:   make(chan struct{}),
	}
	if err := process.assemble(peerListener); err != nil {
		peerListener.Close()
		httpListener.Close()
		return nil, err
	}
	go func() {
		defer close(process.served)
		if err := process.server.Serve(httpListener); err != nil {
			process.logger.Error(err, "HTTP interface ended")
		}
	}()
	process.run(process.core.Start)
	process.logger.Info("node started", "peer", configured.Peer, "http", configured.HTTP)
	return process, nil
}

// assemble joins the parts of the node.
func (p *Process) assemble(peerListener net.Listener) error {
	incarnation := uint64(time.Now().UnixMilli())
	self := wire.Member{
		ID: p.settings.Node, Address: p.settings.AdvertisedPeer(), HTTP: p.settings.HTTP, Zone: p.settings.Zone, Region: p.settings.Region,
		Incarnation: incarnation, Storage: p.settings.DataFolder != "",
	}
	if err := p.assembleClients(); err != nil {
		return err
	}
	random := rand.New(rand.NewPCG(incarnation, rendezvous.Hash(self.ID)))
	store, journal, err := p.openData(random)
	if err != nil {
		return err
	}
	started := make(chan struct{})
	p.transport = transport.Listen(peerListener, transport.Config{
		Hello: wire.Hello{Protocol: wire.ProtocolVersion, Node: self.ID, Address: self.Address, Incarnation: incarnation},
		Post:  p.loop.Post,
		Handler: func(from string, message wire.Message, reply func(wire.Message)) {
			<-started
			p.core.HandleMessage(from, message, reply)
		},
	})
	p.core = node.NewCore(node.Config{
		Self: self, Seeds: p.settings.Seeds, Clock: p.loop, Peers: p.transport, Objects: p.objects, Machines: p.objects,
		Random:  random,
		Engines: engine.NewPosted(p.engines, p.loop.Post), Scorer: p.scorer, Store: store, Journal: journal,
		OnConfiguration: func(generation uint64) { p.logger.Info("configuration in force", "generation", generation) },
	})
	close(started)
	p.assembleServer(incarnation)
	return nil
}

// assembleClients makes the clients of the systems outside.
func (p *Process) assembleClients() (err error) {
	if p.engines, err = engine.NewHTTPClient(); err != nil {
		return err
	}
	if p.objects, err = objectapi.NewClient(p.settings.Platform, p.loop.Post); err != nil {
		return err
	}
	p.scorer, err = scorer.NewClient(p.loop.Post)
	return err
}

// assembleServer makes what answers callers.
func (p *Process) assembleServer(incarnation uint64) {
	metrics := gateway.NewMetrics()
	p.server = gateway.NewServer(gateway.Config{
		Node: p.settings.Node, Zone: p.settings.Zone, Incarnation: incarnation,
		Snapshot: p.core.Snapshot,
		Engines:  p.engines,
		Claims:   loopClaims{process: p},
		Trainers: loopTrainers{process: p},
		Ready:    p.Ready,
		Status:   func() any { return p.Status() },
		Drain:    func() { go p.Stop() },
		Metrics:  metrics,
		Log: func(entry gateway.RequestLog) {
			p.logger.Info("request", "request", entry.ID, "group", entry.Group, "model", entry.Model, "outcome", entry.Outcome,
				"code", entry.Code, "tokens", entry.Tokens, "generation", entry.Generation, "ms", entry.Elapsed.Milliseconds())
		},
	})
	registerGauges(p, metrics)
}

// openData opens what the data folder holds, if there is one.
func (p *Process) openData(random *rand.Rand) (*samplestore.Store, *quorum.Journal, error) {
	if p.settings.DataFolder == "" {
		return nil, nil, nil
	}
	log, err := recordlog.OpenFileLog(p.settings.DataFolder, p.loop.Post)
	if err != nil {
		return nil, nil, err
	}
	p.log = log
	store, err := samplestore.Open(log)
	if err != nil {
		return nil, nil, err
	}
	journal, err := quorum.OpenJournal(log, random)
	return store, journal, err
}

// run executes a call on the loop and waits for it.
func (p *Process) run(call func()) {
	done := make(chan struct{})
	p.loop.Post(func() {
		call()
		close(done)
	})
	<-done
}

// PeerAddress, HTTPAddress and Name identify the node.
func (p *Process) PeerAddress() string { return p.settings.Peer }

// HTTPAddress is where callers reach the node.
func (p *Process) HTTPAddress() string { return p.settings.HTTP }

// Name is the node's name.
func (p *Process) Name() string { return p.settings.Node }

// Ready tells whether the node may serve.
func (p *Process) Ready() bool {
	ready := false
	p.run(func() { ready = p.core.Ready() })
	return ready
}

// Generation is the configuration in force on the node.
func (p *Process) Generation() uint64 {
	if snapshot := p.core.Snapshot(); snapshot != nil {
		return snapshot.Generation
	}
	return 0
}

// processID is shown on the status page.
var processID = os.Getpid()
