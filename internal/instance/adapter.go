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

// Adapter is what a node needs to run on a platform.
type Adapter struct {
	Store   objectstore.Store
	Kinds   Kinds
	Decoder directory.Decoder
	Headers interface {
		dispatch.HeaderCodec
		ingress.Headers
		// Prompt returns a hash of the first part of the prompt, 0 if the header names
		// none.
		Prompt(header http.Header) uint64
	}
	Jobs        batch.Codec
	Retirements RetirementCodec
	// Orders returns a client of the replicas that uses a pool of connections.
	Orders func(pool *exchange.Pool) weightorders.ReplicaClient
	// Duties returns clients of the platform's API at an address, for those of the named
	// duties that it supports.
	Duties func(address string, named []string) Duties
}
