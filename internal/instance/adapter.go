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
		// PromptHash returns a hash of the first part of the prompt, 0 if the header names
		// none.
		PromptHash(header http.Header) uint64
	}
	Jobs        batch.Codec
	Retirements RetirementCodec
	// NewReplicaClient returns a client of the replicas that uses a pool of connections.
	NewReplicaClient func(pool *exchange.Pool) weightorders.ReplicaClient
	// NewDutyClients returns clients of the platform's API at an address, for those of the
	// named duties that it supports.
	NewDutyClients func(address string, names []string) DutyClients
}
