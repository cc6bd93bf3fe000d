package instance

import (
	"net/http"

	"github.com/pathtally/pathtally/internal/callers/dispatch"
	"github.com/pathtally/pathtally/internal/callers/exchange"
	"github.com/pathtally/pathtally/internal/callers/ingress"
	"github.com/pathtally/pathtally/internal/duties/weightorders"
	"github.com/pathtally/pathtally/internal/jobs/batch"
	"github.com/pathtally/pathtally/internal/replicas/directory"
	"github.com/pathtally/pathtally/internal/store/objectstore"
)

// Adapter is what a node needs of the platform that it runs on.
type Adapter struct {
	Store   objectstore.Store
	Kinds   Kinds
	Decoder directory.Decoder
	Headers interface {
		dispatch.HeaderCodec
		ingress.Headers
		// Prompt returns a number that prompts with the same beginning share.
		Prompt(header http.Header) uint64
	}
	Jobs        batch.Codec
	Retirements RetirementCodec
	// Orders returns the client for orders to replicas over a pool.
	Orders func(pool *exchange.Pool) weightorders.ReplicaClient
	// Duties returns the client of the platform's API at an address, for those of
	// the named duties that it takes.
	Duties func(address string, named []string) Duties
}
