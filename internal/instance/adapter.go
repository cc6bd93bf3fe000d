package instance

import (
	"net/http"

	"github.com/pathtally/pathtally/internal/autoscale"
	"github.com/pathtally/pathtally/internal/batch"
	"github.com/pathtally/pathtally/internal/directory"
	"github.com/pathtally/pathtally/internal/dispatch"
	"github.com/pathtally/pathtally/internal/exchange"
	"github.com/pathtally/pathtally/internal/ingress"
	"github.com/pathtally/pathtally/internal/objectstore"
	"github.com/pathtally/pathtally/internal/usage"
	"github.com/pathtally/pathtally/internal/weightorders"
)

// Kinds are the names under which the platform keeps what a node watches.
type Kinds struct {
	Configuration     string
	ConfigurationName string
	Replicas          string
	Versions          string
	Retirements       string
	Evacuations       string
}

// Adapter is what a node needs of the platform that it runs on.
type Adapter struct {
	Store   objectstore.Store
	Kinds   Kinds
	Decoder directory.Decoder
	Headers interface {
		dispatch.Headers
		ingress.Headers
		// Prompt returns a number that prompts with the same beginning share.
		Prompt(header http.Header) uint64
	}
	Jobs        batch.Codec
	Retirements RetirementCodec
	// Orders returns the client for orders to replicas over a pool.
	Orders func(pool *exchange.Pool) weightorders.Replicas
	// Duties returns the client of the platform's API at an address, for those of
	// the named duties that it takes.
	Duties func(address string, named []string) Duties
}

// Duties are what the platform takes of one node for the whole deployment; nil
// for what it does not.
type Duties struct {
	Usage    usage.Platform
	Replicas autoscale.Platform
}
