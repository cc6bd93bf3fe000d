package batch

import (
	"testing"
	"time"

	"github.com/pathtally/pathtally/internal/jobs/jobstore"
	"github.com/pathtally/pathtally/standin/metastore"
)

// Guards against a result that a reader has seen missing at the owner while the outcome
// of its append is unknown and the store does not respond.
func TestAnOwnerThatCannotLookBehindItsAppendSaysSo(t *testing.T) {
	cluster, held := unlistedResults(t)
	cluster.store.SetFault(func(call metastore.Call) metastore.Fault {
		if call.Kind == jobstore.KindResults && call.Verb == "create" {
			return metastore.Unanswered
		}
		return metastore.Sound
	})
	held.flushLater()
	eventually(t, "the results are in the store", func() bool { return cluster.store.Has(jobstore.KindResults, jobstore.ChunkName("job", 0)) })
	read := cluster.readBesideOwner()
	time.Sleep(2 * appendAnswerTimeout)
	cluster.store.SetFault(func(metastore.Call) metastore.Fault { return metastore.Silent })
	cluster.checkNothingGone("while the store answers nobody", read)
	cluster.store.SetFault(nil)
	cluster.awaitOwnersAnswer()
	cluster.checkNothingGone("once the store answers", read)
}
