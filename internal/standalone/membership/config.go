package membership

import (
	"math/rand/v2"
	"time"

	"github.com/pathtally/pathtally/internal/environment"
	"github.com/pathtally/pathtally/internal/wire"
)

const (
	// DefaultPeriod is the interval between the probes of a node.
	DefaultPeriod = time.Second
	// probeTimeoutDivisor divides the period into the timeout of a direct probe.
	probeTimeoutDivisor = 3
	// suspectTimeoutPeriods is how many periods a suspect has to refute the
	// suspicion before it is declared dead.
	suspectTimeoutPeriods = 4
	// indirectProbes is how many members are asked to probe an unresponsive one.
	indirectProbes = 2
	// delegatesPerZone is how many members of a zone probe other zones.
	delegatesPerZone = 2
	// recordsPerProbe bounds the records in a probe inside a zone, and
	// recordsPerCrossZoneProbe those in a probe of another zone.
	recordsPerProbe          = 32
	recordsPerCrossZoneProbe = 64
	// transmissionFactor times the logarithm of the zone's size is how many
	// times a changed record is sent.
	transmissionFactor = 3
	// syncPeriods is the minimum number of periods between two exchanges of
	// record versions started by a node.
	syncPeriods = 5
	// deadRetention is how long the record of a dead member is kept.
	deadRetention = 12 * time.Hour
)

// Config holds the settings and dependencies of a Table.
type Config struct {
	Self wire.Member
	// Seeds are the addresses of the nodes through which this node joins.
	Seeds  []string
	Clock  environment.Clock
	Random *rand.Rand
	Peers  environment.Peers
	// Period is the time between probes; zero means DefaultPeriod.
	Period time.Duration
	// Documents returns the document versions to include in each probe.
	Documents func() []wire.DocumentVersion
	// OnDocuments is called with the document versions that a peer holds.
	OnDocuments func(address string, versions []wire.DocumentVersion)
	// OnChange is called after each change of the table; nil means no call.
	OnChange func()
}
