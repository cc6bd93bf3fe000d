package batch

import (
	"testing"
	"time"

	"github.com/pathtally/pathtally/internal/jobs/jobstore"
	"github.com/pathtally/pathtally/standin/metastore"
)

// Guards against an owner that lacks a result which a reader has got, while the outcome
// of its append is unknown and the store does not respond.
func TestReadDuringAppendWithUnknownOutcome(t *testing.T) {
	cluster, held := newUnlistedResultsCluster(t)
	cluster.store.SetFault(func(call metastore.Call) metastore.Fault {
		if call.Kind == jobstore.KindResults && call.Verb == "create" {
			return metastore.ResponseLost
		}
		return metastore.NoFault
	})
	held.requestFlush()
	eventually(t, "the results are in the store", func() bool { return cluster.store.Has(jobstore.KindResults, jobstore.ChunkName("job", 0)) })
	read := cluster.readWithoutOwner()
	time.Sleep(2 * appendResponseTimeout)
	cluster.store.SetFault(func(metastore.Call) metastore.Fault { return metastore.Dropped })
	cluster.checkResultsKept("while the store does not respond", read)
	cluster.store.SetFault(nil)
	cluster.awaitOwnerServesReads()
	cluster.checkResultsKept("once the store responds", read)
}
