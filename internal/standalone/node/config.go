package node

import (
	"math/rand/v2"

	"github.com/pathtally/pathtally/internal/environment"
	"github.com/pathtally/pathtally/internal/standalone/engine"
	"github.com/pathtally/pathtally/internal/standalone/quorum"
	"github.com/pathtally/pathtally/internal/standalone/rollout"
	"github.com/pathtally/pathtally/internal/standalone/samplestore"
	"github.com/pathtally/pathtally/internal/wire"
)

// Config is what a Core needs.
type Config struct {
	Self     wire.Member
	Seeds    []string
	Clock    environment.Clock
	Random   *rand.Rand
	Peers    environment.Peers
	Objects  environment.Objects
	Machines environment.Machines
	Engines  engine.Client
	Scorer   rollout.Scorer
	// Store is nil on a node without a data folder.
	Store *samplestore.Store
	// Journal keeps the node's quorum seat; nil on a node without a data
	// folder.
	Journal *quorum.Journal
	// OnConfiguration is called with each generation that comes into force here.
	OnConfiguration func(generation uint64)
}
