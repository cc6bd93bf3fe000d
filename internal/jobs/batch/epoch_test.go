package batch

import (
	"testing"
	"time"

	"github.com/pathtally/pathtally/internal/wire"
)

// Symptom: a node that is well asks a former owner for the results of a job, and shows
// fewer than had been read at the successor.
//
// Sequence: an owner is cut off; another node takes its job over and tells all nodes;
// the way is well again, and the former owner, which has not looked its ownership up
// yet, goes on with its heartbeats.
//
// Cause: whoever was heard last counted as the owner, however old its ownership was.
func TestAHeartbeatOfAFormerOwnerChangesNothing(t *testing.T) {
	cluster := newCluster(t, 1, startEngine(t, 1))
	node := cluster.nodes[0]
	beat := func(owner string, epoch uint32) *wire.NodeBeat {
		return &wire.NodeBeat{Node: owner, Address: owner, Incarnation: 1, Jobs: []string{"job"}, Work: []wire.JobWork{{Job: "job", Epoch: epoch}}}
	}
	heard := func() time.Time {
		node.mutex.Lock()
		defer node.mutex.Unlock()
		return node.known["job"].heard
	}
	for _, test := range []struct {
		from  string
		epoch uint32
		owner string
		heard bool
	}{
		{"node-8", 1, "node-8", true},
		{"node-9", 2, "node-9", true},
		{"node-8", 1, "node-9", false},
		{"node-9", 2, "node-9", true},
		// Nodes of an earlier release tell no epoch.
		{"node-7", 0, "node-7", true},
	} {
		before := time.Time{}
		if owner, known := node.knownOwner("job"); known && owner.Node != "" {
			before = heard()
		}
		time.Sleep(time.Millisecond)
		node.ReceiveHeartbeat(beat(test.from, test.epoch))
		if owner, _ := node.knownOwner("job"); owner.Node != test.owner {
			t.Errorf("after a heartbeat of %s in epoch %d the owner is %s, want %s", test.from, test.epoch, owner.Node, test.owner)
		}
		if heard().After(before) != test.heard {
			t.Errorf("a heartbeat of %s in epoch %d counts as the owner's: %v", test.from, test.epoch, !test.heard)
		}
	}
}

// A job that runs here is not in doubt because a former owner says that it runs it.
func TestAFormerOwnersClaimLeavesTheOwnerCertain(t *testing.T) {
	engine := heldEngine(t)
	defer engine.release()
	cluster := newCluster(t, 1, engine)
	node := cluster.nodes[0]
	if err := cluster.submit(node, "job", 2); err != nil {
		t.Fatal(err)
	}
	node.mutex.Lock()
	held := node.jobs["job"]
	held.record.Epoch = 2
	node.mutex.Unlock()
	for epoch, doubted := range map[uint32]bool{1: false, 3: true} {
		node.mutex.Lock()
		held.doubtedAt = time.Time{}
		node.mutex.Unlock()
		node.ReceiveHeartbeat(&wire.NodeBeat{
			Node: "node-8", Address: "node-8", Incarnation: 1, Jobs: []string{"job"}, Work: []wire.JobWork{{Job: "job", Epoch: epoch}},
		})
		node.mutex.Lock()
		if got := !held.doubtedAt.IsZero(); got != doubted {
			t.Errorf("a claim of epoch %d makes the job doubtful: %v", epoch, got)
		}
		node.mutex.Unlock()
	}
}
