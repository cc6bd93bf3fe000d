package rollout

import (
	"math/rand/v2"
	"time"

	"github.com/pathtally/pathtally/internal/environment"
	"github.com/pathtally/pathtally/internal/standalone/engine"
	"github.com/pathtally/pathtally/internal/standalone/engineplan"
	"github.com/pathtally/pathtally/internal/wire"
)

const (
	// tickInterval is the time between two ticks of the scheduler.
	tickInterval = 50 * time.Millisecond
	// slotRetryDelay is the delay before a failed attempt, scoring or store
	// write is retried.
	slotRetryDelay = 200 * time.Millisecond
	// registerRetryDelay is the delay before a failed register or sample-read
	// operation is retried.
	registerRetryDelay = 500 * time.Millisecond
	// storeTimeout bounds one call to a sample store.
	storeTimeout = 3 * time.Second
	// missingSampleTimeout is how long the scheduler searches the stores for
	// samples of a manifest before it regenerates the missing ones.
	missingSampleTimeout = 15 * time.Second
	// maxDispatches bounds the dispatches of one attempt.
	maxDispatches = 64
	// sampleDeadline bounds one dispatch of a sample.
	sampleDeadline = 8 * time.Minute
	// maxRetainedAcked is how many acknowledged steps stay in memory.
	maxRetainedAcked = 2
	// chunkTokens is the number of tokens per chunk that an engine reports.
	chunkTokens = 16
)

// Registers are the quorum registers that decide manifests.
type Registers interface {
	Propose(register string, ballot uint64, value []byte, done func([]byte, error))
	Read(register string, ballot uint64, done func([]byte, error))
}

// Scorer scores finished samples.
type Scorer interface {
	Score(url string, sample []byte, done func(float64, error))
}

// Stores lists the sample stores.
type Stores interface {
	// Usable returns the reachable nodes that have a data folder.
	Usable() []wire.Member
	// ReplicationFactor returns how many stores must hold each sample.
	ReplicationFactor() int
}

// Config holds the settings and dependencies of a Scheduler.
type Config struct {
	Trainer   string
	Token     uint64
	Node      string
	Zone      string
	Clock     environment.Clock
	Random    *rand.Rand
	Peers     environment.Peers
	Engines   engine.Client
	Registers Registers
	Scorer    Scorer
	Stores    Stores
	// Plan returns the trainer and its current engines, or nil if the trainer
	// is not declared.
	Plan func() *engineplan.TrainerPlan
	// OnSuperseded is called when a holder with a greater fencing token is
	// detected.
	OnSuperseded func()
}
