package node

import (
	"encoding/json"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"k8s.io/klog/v2"

	v1 "github.com/pathtally/pathtally/api/v1"
	"github.com/pathtally/pathtally/internal/environment"
	"github.com/pathtally/pathtally/internal/standalone/engineplan"
	"github.com/pathtally/pathtally/internal/standalone/fleet"
	"github.com/pathtally/pathtally/internal/standalone/lease"
	"github.com/pathtally/pathtally/internal/standalone/membership"
	"github.com/pathtally/pathtally/internal/standalone/poller"
	"github.com/pathtally/pathtally/internal/standalone/quorum"
	"github.com/pathtally/pathtally/internal/standalone/reader"
	"github.com/pathtally/pathtally/internal/standalone/relay"
	"github.com/pathtally/pathtally/internal/standalone/rollout"
	"github.com/pathtally/pathtally/internal/standalone/weights"
	"github.com/pathtally/pathtally/internal/wire"
)

const (
	// upkeepPeriod is the time between checks for silence and expiry.
	upkeepPeriod = 250 * time.Millisecond
	// confirmationsNeeded is how many peers a starting node asks before it
	// trusts that its configuration is not an old one.
	confirmationsNeeded = 2
	// confirmationWait and maxConfirmationWait bound the time between a
	// starting node's questions to the object API.
	confirmationWait    = time.Second
	maxConfirmationWait = 10 * time.Second
	// engineReportTimeout is how long a starting node waits for the first report
	// of every engine.
	engineReportTimeout = 3 * time.Second
	// quorumViewTimeout is how long a starting node waits for a view of the
	// quorum before it becomes ready without one. The first view of a deployment
	// takes two writes to the object API, of the lease and of the view.
	quorumViewTimeout = 10 * time.Second
	// expiryRounds is how many upkeep rounds pass between two expiries.
	expiryRounds = 40
)

// Core is a node without its sockets.
type Core struct {
	config  Config
	table   *membership.Table
	relay   *relay.Store
	leases  *lease.Manager
	reader  *reader.Reader
	fleet   *fleet.Table
	poller  *poller.Poller
	builder *engineplan.Builder

	member      *quorum.Member
	quorum      *quorum.Client
	coordinator *quorum.Coordinator

	schedulers map[string]*rollout.Scheduler
	weights    map[string]*weights.Coordinator

	set        *v1.Set
	generation uint64
	// configuredSince is when the first configuration came into force.
	configuredSince time.Time
	snapshot        atomic.Pointer[engineplan.Snapshot]
	followed        map[string]time.Duration
	// wanted are the leases competed for, and prompted the tokens of those
	// that were looked at because their holder was gone.
	wanted   []string
	prompted map[string]uint64
	stopping bool
	stopped  bool
	upkeeps  int
}

// NewCore returns a node that has not started.
func NewCore(config Config) *Core {
	config.Self.Identity = config.Self.Incarnation
	if config.Journal != nil {
		config.Self.Identity = config.Journal.Identity()
	}
	core := &Core{
		config:     config,
		fleet:      fleet.NewTable(config.Clock),
		builder:    engineplan.NewBuilder(config.Self.Zone),
		schedulers: map[string]*rollout.Scheduler{},
		weights:    map[string]*weights.Coordinator{},
		followed:   map[string]time.Duration{},
		prompted:   map[string]uint64{},
	}
	core.assembleMembership()
	core.assembleQuorum()
	core.assembleUpkeep()
	return core
}

// assembleMembership makes what is known of the other nodes and shared with them.
func (c *Core) assembleMembership() {
	c.relay = relay.NewStore(relay.Config{Peers: c.config.Peers, OnChange: c.documentChanged})
	c.table = membership.New(membership.Config{
		Self: c.config.Self, Seeds: c.config.Seeds, Clock: c.config.Clock, Random: c.config.Random, Peers: c.config.Peers,
		Documents:   c.relay.Versions,
		OnDocuments: c.relay.PullNewer,
		OnChange:    c.membersChanged,
	})
}

// assembleQuorum makes this node's part in the quorum.
func (c *Core) assembleQuorum() {
	c.member = quorum.NewMember(quorum.MemberConfig{
		ID: c.config.Self.ID, Identity: c.config.Self.Identity, Clock: c.config.Clock, Peers: c.config.Peers, Journal: c.config.Journal,
	})
	c.quorum = quorum.NewClient(c.config.Clock, c.config.Peers)
	c.coordinator = quorum.NewCoordinator(quorum.CoordinatorConfig{
		Clock: c.config.Clock, Peers: c.config.Peers, Objects: c.config.Objects, Members: c.table, OnView: c.publishView,
	})
}

// assembleUpkeep makes what reads the configuration, competes for leases and
// follows engines.
func (c *Core) assembleUpkeep() {
	c.reader = reader.New(reader.Config{
		Clock: c.config.Clock, Random: c.config.Random, Objects: c.config.Objects, Machines: c.config.Machines,
		Names:   map[string]func(environment.Object) (*relay.Document, error){quorum.DocumentName: viewDocument},
		Publish: func(document *relay.Document) { c.relay.Publish(document) },
	})
	c.leases = lease.NewManager(lease.Config{
		Self: c.processName(), Clock: c.config.Clock, Random: c.config.Random, Objects: c.config.Objects,
		Rank: c.leaseRank, YieldAfter: c.yieldAfter, OnAcquire: c.acquired, OnLose: c.lost,
	})
	c.poller = poller.New(poller.Config{
		Self: c.config.Self.ID, Clock: c.config.Clock, Random: c.config.Random, Peers: c.config.Peers, Engines: c.config.Engines,
		ZoneMates: func() []wire.Member { return c.table.InZone(c.config.Self.Zone) },
		Holders:   c.distantHolders,
		Observe:   c.observeLoad,
	})
}

// Start joins the other nodes and takes up duties.
func (c *Core) Start() {
	c.table.Start()
	c.poller.Start()
	if len(c.config.Seeds) == 0 {
		c.confirm(0)
	} else {
		c.confirm(confirmationWait)
	}
	c.leases.SetNames(c.wantedLeases())
	c.upkeep()
}

// confirm asks the object API for the configuration only when the peers could
// not vouch for it, so that a restart of many nodes does not fall on it.
func (c *Core) confirm(wait time.Duration) {
	c.config.Clock.AfterFunc(wait, func() {
		if c.stopped || c.Ready() {
			return
		}
		c.reader.ReadOnce(func(error) {})
		c.confirm(min(2*wait+confirmationWait, maxConfirmationWait))
	})
}

// Kill ends all activity at once, as a crash does.
func (c *Core) Kill() {
	c.stopped = true
	c.table.Stop()
	c.poller.Stop()
	c.reader.Stop()
	c.coordinator.Stop()
	for _, scheduler := range c.schedulers {
		scheduler.Stop()
	}
	for _, coordinator := range c.weights {
		coordinator.Stop()
	}
	c.leases.Stop(func() {})
}

// Snapshot returns what the request path reads, or nil before the first
// configuration. Any goroutine may call it.
func (c *Core) Snapshot() *engineplan.Snapshot { return c.snapshot.Load() }

// Generation is the configuration generation in force here, 0 for none.
func (c *Core) Generation() uint64 { return c.generation }

// Ready tells whether the node may serve: a configuration is in force, either
// the object API or enough peers have been asked whether it is the newest, and
// the engines and a view of the quorum are known or their timeouts have passed.
// Without a view, the node refuses unsafe requests.
func (c *Core) Ready() bool {
	if c.generation == 0 || c.stopping {
		return false
	}
	if !c.enginesKnown() || !c.quorumViewKnown() {
		return false
	}
	needed := min(confirmationsNeeded, len(c.config.Seeds))
	return c.reader.Confirmed() || (needed > 0 && c.table.SeedsReplied() >= needed)
}

// enginesKnown tells whether every engine that the node follows has been
// reported, or has had the time to be.
func (c *Core) enginesKnown() bool {
	if c.config.Clock.Now().Sub(c.configuredSince) > engineReportTimeout {
		return true
	}
	for name := range c.followed {
		if _, known := c.fleet.Load(name); !known {
			return false
		}
	}
	return true
}

// quorumViewKnown tells whether the node knows a view of the quorum, or
// quorumViewTimeout has passed since the first configuration.
func (c *Core) quorumViewKnown() bool {
	return c.quorum.View() != nil || c.config.Clock.Now().Sub(c.configuredSince) > quorumViewTimeout
}

// Quorum returns the client for claims.
func (c *Core) Quorum() *quorum.Client { return c.quorum }

// Members returns the usable members.
func (c *Core) Members() []wire.Member { return c.table.Usable() }

// processName is unique to this process, so that a node which starts again
// does not take its predecessor's lease for its own.
func (c *Core) processName() string {
	return c.config.Self.ID + "@" + formatIncarnation(c.config.Self.Incarnation)
}

// documentChanged reacts to a relayed document that comes into force.
func (c *Core) documentChanged(document *relay.Document) {
	switch document.Name {
	case reader.ConfigurationDocument:
		c.applyConfiguration(document)
	case quorum.DocumentName:
		c.applyView(document)
	case reader.MachinesDocument:
		c.applyMachines(document)
	}
	if c.table != nil {
		c.table.GossipNow()
	}
}

// applyView brings a view of the quorum into force.
func (c *Core) applyView(document *relay.Document) {
	view, err := quorum.ViewFromEntries(document.Entries)
	if err != nil {
		c.logUnreadable(err, document)
		return
	}
	c.quorum.SetView(view)
	c.member.SetView(view)
}

// logUnreadable tells why a document is passed over, so that what was in force
// stays so.
func (c *Core) logUnreadable(err error, document *relay.Document) {
	klog.Background().Error(err, "document is not readable", "node", c.config.Self.ID, "document", document.Name, "version", document.Version)
}

func (c *Core) applyConfiguration(document *relay.Document) {
	set, err := v1.FromEntries(document.Entries)
	if err != nil {
		c.logUnreadable(err, document)
		return
	}
	if c.generation == 0 {
		c.configuredSince = c.config.Clock.Now()
	}
	c.set, c.generation = set, document.Version
	c.rebuild()
	c.leases.SetNames(c.wantedLeases())
	if c.config.OnConfiguration != nil {
		c.config.OnConfiguration(c.generation)
	}
}

func (c *Core) applyMachines(document *relay.Document) {
	machines := make(map[string]environment.Machine, len(document.Entries))
	for address, data := range document.Entries {
		var machine environment.Machine
		if err := json.Unmarshal(data, &machine); err != nil {
			klog.Background().Error(err, "machine is not readable and left out", "node", c.config.Self.ID, "address", address)
			continue
		}
		machines[address] = machine
	}
	c.fleet.SetMachines(machines)
	c.refreshViews()
}

func (c *Core) publishView(view *quorum.View) {
	entries, err := view.Entries()
	if err != nil {
		klog.Background().Error(err, "quorum view not published", "node", c.config.Self.ID, "epoch", view.Epoch)
		return
	}
	c.relay.Publish(relay.NewDocument(quorum.DocumentName, view.Epoch, entries))
}

func viewDocument(object environment.Object) (*relay.Document, error) {
	view := &quorum.View{}
	if err := json.Unmarshal(object.Data, view); err != nil {
		return nil, merry.Wrap(err)
	}
	entries, err := view.Entries()
	return relay.NewDocument(quorum.DocumentName, view.Epoch, entries), err
}

func (c *Core) upkeep() {
	if c.stopped {
		return
	}
	c.refreshViews()
	c.upkeeps++
	if c.upkeeps%expiryRounds == 0 {
		c.member.DeleteExpired()
	}
	c.config.Clock.AfterFunc(upkeepPeriod, c.upkeep)
}
