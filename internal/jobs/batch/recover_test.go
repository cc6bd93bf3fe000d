package batch

import (
	"fmt"
	"sync/atomic"
	"testing"

	"github.com/pathtally/pathtally/internal/jobs/jobstore"
	"github.com/pathtally/pathtally/standin/metastore"
)

// Guards against a starting node that reads all pages of the listing again because one of them failed,
// and one that learns of open jobs only after the last page.
func TestFailedPageIsReadAgain(t *testing.T) {
	const pageLength, count, failures = 50, 120, 3
	cluster := newCluster(t, 0)
	for number := range count {
		name := fmt.Sprintf("old-%04d", number)
		cluster.store.Write(jobstore.KindJobs, name, jobstore.Record{Epoch: 1})
		if _, err := jobstore.New(cluster.store).End(t.Context(), name); err != nil {
			t.Fatal(err)
		}
	}
	cluster.store.Write(jobstore.KindJobs, "open", jobstore.Record{Epoch: 1, Owner: jobstore.Owner{Node: "gone"}})
	var firstPages, failed, laterPages atomic.Int64
	var healed atomic.Bool
	cluster.store.SetFault(func(call metastore.Call) metastore.Fault {
		switch {
		case call.Verb != "list" || call.Kind != jobstore.KindJobs:
		case call.Name == "":
			firstPages.Add(1)
		case healed.Load():
			laterPages.Add(1)
		default:
			failed.Add(1)
			return metastore.Refused
		}
		return metastore.NoFault
	})
	node := cluster.addNode("node-0", nil)
	eventually(t, "the open job is known although the second page fails", func() bool {
		node.mutex.Lock()
		defer node.mutex.Unlock()
		return node.remoteJobs["open"] != nil
	})
	if !node.Recovered() {
		t.Error("not recovered after the first page")
	}
	eventually(t, "the second page is read again", func() bool { return failed.Load() >= failures })
	healed.Store(true)
	eventually(t, "the last page is read", func() bool { return laterPages.Load() == count/pageLength })
	if firstPages.Load() != 1 {
		t.Errorf("the first page was read %d times", firstPages.Load())
	}
}
