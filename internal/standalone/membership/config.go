package membership

import (
	"math/rand/v2"
	"time"

	"github.com/pathtally/pathtally/internal/environment"
	"github.com/pathtally/pathtally/internal/wire"
)

const (
	// DefaultPeriod is the time between two probes by a node.
	DefaultPeriod = time.Second
	// probeTimeoutShare is the part of a period that a direct probe may take.
	probeTimeoutShare = 3
	// suspectPeriods is how long a suspect may defend itself.
	suspectPeriods = 4
	// indirectProbes is how many members are asked to probe a silent one.
	indirectProbes = 2
	// delegatesPerZone is how many members of a zone talk to other zones.
	delegatesPerZone = 2
	// recordsPerProbe bounds the records on a probe inside a zone, and
	// recordsPerCrossProbe those between zones.
	recordsPerProbe      = 32
	recordsPerCrossProbe = 64
	// transmissionFactor times the logarithm of the zone's size is how often
	// a record is passed on.
	transmissionFactor = 3
	// syncPeriods is the least number of periods between two exchanges of
	// record versions started by one node.
	syncPeriods = 5
	// deadRetention is how long the record of a dead member is kept.
	deadRetention = 12 * time.Hour
)

// Config is what a Table needs.
type Config struct {
	Self   wire.Member
	Seeds  []string
	Clock  environment.Clock
	Random *rand.Rand
	Peers  environment.Peers
	// Period is the time between probes; zero means DefaultPeriod.
	Period time.Duration
	// Documents returns the versions to put on each probe.
	Documents func() []wire.DocumentVersion
	// OnDocuments is called with the versions that a peer holds.
	OnDocuments func(address string, versions []wire.DocumentVersion)
	// OnChange is called when the table has changed.
	OnChange func()
}
