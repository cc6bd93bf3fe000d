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
	// pumpPeriod is the time between checks of waiting samples and tails.
	pumpPeriod = 50 * time.Millisecond
	// slotRetry is the wait after an attempt that failed.
	slotRetry = 200 * time.Millisecond
	// sealRetry is the wait after the quorum could not decide.
	sealRetry = 500 * time.Millisecond
	// storeTimeout bounds one message to a sample store.
	storeTimeout = 3 * time.Second
	// lossTimeout is how long the samples of a manifest are looked for before
	// those that no store has are generated anew.
	lossTimeout = 15 * time.Second
	// sampleAttempts bounds the dispatches of one attempt.
	sampleAttempts = 64
	// sampleDeadline bounds one dispatch of a sample.
	sampleDeadline = 8 * time.Minute
	// keptAcked is how many acknowledged steps stay in memory.
	keptAcked = 2
	// chunkTokens is how many tokens of a sample an engine reports together.
	chunkTokens = 16
)

// Registers decides the manifests.
type Registers interface {
	Propose(register string, ballot uint64, value []byte, done func([]byte, error))
	Read(register string, ballot uint64, done func([]byte, error))
}

// Scorer judges a sample before it counts as finished.
type Scorer interface {
	Score(url string, sample []byte, done func(float64, error))
}

// Stores tells where samples are kept.
type Stores interface {
	// Usable returns the nodes with a data folder that can be reached.
	Usable() []wire.Member
	// Copies is how many stores must hold a sample.
	Copies() int
}

// Config is what a Scheduler needs.
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
	// Plan returns the trainer and its engines as they are now, or nil.
	Plan func() *engineplan.TrainerPlan
	// OnSuperseded is called when another holder's ballot was seen.
	OnSuperseded func()
}
