package poller

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pathtally/pathtally/internal/cluster/rendezvous"
	"github.com/pathtally/pathtally/internal/environment"
	"github.com/pathtally/pathtally/internal/standalone/engine"
	"github.com/pathtally/pathtally/internal/wire"
)

const (
	// Period is the time between two polls of an engine.
	Period = time.Second
	// SlowPeriod is that of a duty that follows many engines. Changes are announced
	// at once by the zones' pollers; the loads between them only have to be
	// about right, since the duty counts its own dispatches.
	SlowPeriod = 20 * time.Second
	// batchPeriod is how long loads wait for others before they are sent, and
	// urgentPeriod how long those do that show an engine changed.
	batchPeriod  = time.Second
	urgentPeriod = 20 * time.Millisecond
	// pollersPerEngine is how many nodes of a zone poll an engine.
	pollersPerEngine = 2
	// Slice is how many engines of other zones a zone follows.
	Slice = 16
	// smallFleet is up to how many engines every zone follows all.
	smallFleet = 64
)

// Target is an engine to be polled.
type Target struct {
	Name    string
	Address string
	Zone    string
}

// Followed returns the engines that a zone follows: its own and a slice of
// the others, chosen by rendezvous so that zones choose differently.
func Followed(zone string, engines []Target) []Target {
	if len(engines) <= smallFleet {
		return engines
	}
	var own, others []Target
	byName := map[string]Target{}
	var candidates []rendezvous.Candidate
	for _, engine := range engines {
		if engine.Zone == zone {
			own = append(own, engine)
			continue
		}
		byName[engine.Name] = engine
		candidates = append(candidates, rendezvous.Candidate{ID: engine.Name, Zone: engine.Zone})
	}
	for i, candidate := range rendezvous.RankAcrossZones("slice/"+zone, candidates) {
		if i == Slice {
			break
		}
		others = append(others, byName[candidate.ID])
	}
	return append(own, others...)
}

// Config is what a Poller needs.
type Config struct {
	Self    string
	Clock   environment.Clock
	Random  *rand.Rand
	Peers   environment.Peers
	Engines engine.Client
	// ZoneMates returns the usable members of the zone, this node among them.
	ZoneMates func() []wire.Member
	// Holders returns the addresses of the duties elsewhere that follow many
	// engines slowly; they are announced at once when an engine changes.
	Holders func() []string
	// Observe takes in a load measured here.
	Observe func(load wire.EngineLoad, period time.Duration)
}

// Poller polls this node's share of engines. It belongs to one goroutine.
type Poller struct {
	config  Config
	zone    []Target
	duty    []Target
	polling map[string]bool
	batch   []wire.EngineLoad
	// flushAt is when the batch is sent, and sent what was last sent of each
	// engine.
	flushAt time.Time
	sent    map[string]wire.EngineLoad
	// urgent is set while the batch shows that an engine has changed.
	urgent  bool
	started bool
	stopped bool
	rounds  int
}

// New returns a poller without targets.
func New(config Config) *Poller {
	return &Poller{config: config, polling: map[string]bool{}, sent: map[string]wire.EngineLoad{}}
}

// SetTargets replaces the engines that the zone follows and those that this
// node's duties need besides. Engines that are new are asked at once, since
// they get no work before their first report.
func (p *Poller) SetTargets(zone, duty []Target) {
	known := map[Target]bool{}
	for _, target := range append(slices.Clone(p.zone), p.duty...) {
		known[target] = true
	}
	p.zone, p.duty = zone, duty
	if p.stopped || !p.started {
		return
	}
	asked := p.assigned()
	if len(duty) <= smallFleet {
		asked = append(asked, duty...)
	}
	for _, target := range asked {
		if !known[target] {
			p.Poll(target, Period, slices.Contains(zone, target))
		}
	}
}

// Start begins polling.
func (p *Poller) Start() {
	if p.stopped {
		return
	}
	p.started = true
	p.round()
	p.rounds++
	jitter := time.Duration(p.config.Random.Int64N(int64(Period) / 5))
	p.config.Clock.AfterFunc(Period-Period/10+jitter, p.Start)
}

// Stop ends polling.
func (p *Poller) Stop() { p.stopped = true }

// round plans the polls of one period, spread over it.
func (p *Poller) round() {
	mine := p.assigned()
	seen := map[string]bool{}
	for _, target := range mine {
		seen[target.Name] = true
		p.plan(target, Period, true)
	}
	slow := len(p.duty) > smallFleet
	for _, target := range p.duty {
		if seen[target.Name] {
			continue
		}
		if !slow {
			p.plan(target, Period, false)
			continue
		}
		if int(rendezvous.Hash(target.Name)%uint64(SlowPeriod/Period)) == p.rounds%int(SlowPeriod/Period) {
			p.plan(target, SlowPeriod, false)
		}
	}
}

// assigned is this node's share of the zone's engines.
func (p *Poller) assigned() []Target {
	mates := p.config.ZoneMates()
	self := rendezvous.Hash(p.config.Self)
	hashes := make([]uint64, 0, len(mates))
	for _, mate := range mates {
		if mate.ID != p.config.Self {
			hashes = append(hashes, rendezvous.Hash(mate.ID))
		}
	}
	var mine []Target
	for _, target := range p.zone {
		key := rendezvous.Hash("poll/" + target.Name)
		own, ahead := rendezvous.Weight(key, self), 0
		for _, other := range hashes {
			if rendezvous.Weight(key, other) > own {
				ahead++
			}
		}
		if ahead < pollersPerEngine {
			mine = append(mine, target)
		}
	}
	return mine
}

func (p *Poller) plan(target Target, period time.Duration, share bool) {
	offset := time.Duration(p.config.Random.Int64N(int64(Period) * 3 / 4))
	p.config.Clock.AfterFunc(offset, func() {
		if !p.stopped {
			p.Poll(target, period, share)
		}
	})
}

// Poll measures one engine now.
func (p *Poller) Poll(target Target, period time.Duration, share bool) {
	if p.polling[target.Name] {
		return
	}
	p.polling[target.Name] = true
	p.config.Engines.Status(target.Address, func(status engine.Status, err error) {
		delete(p.polling, target.Name)
		if p.stopped {
			return
		}
		load := LoadOf(target.Name, status, err == nil)
		p.config.Observe(load, period)
		if share {
			p.add(load)
		}
	})
}

// LoadOf makes a load report of an engine's status.
func LoadOf(name string, status engine.Status, healthy bool) wire.EngineLoad {
	load := wire.EngineLoad{
		Engine:  name,
		Running: uint32(max(0, status.Running)),
		Waiting: uint32(max(0, status.Waiting)),
		Version: status.Version,
		Staged:  status.Staged,
	}
	if healthy {
		load.Flags |= wire.EngineHealthy
	}
	if status.Draining {
		load.Flags |= wire.EngineDraining
	}
	return load
}

// add puts a load into the batch. What shows that an engine has changed its
// weights or leaves is sent almost at once.
func (p *Poller) add(load wire.EngineLoad) {
	last := p.sent[load.Engine]
	wait := batchPeriod
	if last.Flags != load.Flags || last.Version != load.Version {
		wait = urgentPeriod
		p.urgent = true
	}
	p.sent[load.Engine] = load
	p.batch = append(p.batch, load)
	at := p.config.Clock.Now().Add(wait)
	if len(p.batch) > 1 && !at.Before(p.flushAt) {
		return
	}
	p.flushAt = at
	p.config.Clock.AfterFunc(wait, func() {
		if len(p.batch) > 0 && !p.config.Clock.Now().Before(p.flushAt) {
			p.flush()
		}
	})
}

func (p *Poller) flush() {
	report := &wire.LoadReport{Loads: p.batch}
	p.batch = nil
	var addresses []string
	for _, mate := range p.config.ZoneMates() {
		if mate.ID != p.config.Self {
			addresses = append(addresses, mate.Address)
		}
	}
	if p.urgent {
		addresses = append(addresses, p.config.Holders()...)
	}
	p.urgent = false
	p.config.Peers.Broadcast(addresses, report)
}
