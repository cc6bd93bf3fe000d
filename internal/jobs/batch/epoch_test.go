package batch

import (
	"testing"
	"time"

	"github.com/pathtally/pathtally/internal/wire"
)

// Guards against regarding a former owner, which still sends heartbeats, as the owner of
// a job.
func TestHeartbeatOfFormerOwnerIgnored(t *testing.T) {
	cluster := newCluster(t, 1, startEngine(t, 1))
	node := cluster.nodes[0]
	heartbeat := func(owner string, epoch uint32) *wire.NodeBeat {
		return &wire.NodeBeat{Node: owner, Address: owner, Incarnation: 1, Jobs: []string{"job"}, Work: []wire.JobWork{{Job: "job", Epoch: epoch}}}
	}
	lastHeartbeat := func() time.Time {
		node.mutex.Lock()
		defer node.mutex.Unlock()
		return node.remoteJobs["job"].lastHeartbeat
	}
	for _, test := range []struct {
		from   string
		epoch  uint32
		owner  string
		counts bool
	}{
		{"node-8", 1, "node-8", true},
		{"node-9", 2, "node-9", true},
		{"node-8", 1, "node-9", false},
		{"node-9", 2, "node-9", true},
		// Nodes of earlier releases send no epoch.
		{"node-7", 0, "node-7", true},
	} {
		before := time.Time{}
		if owner, known := node.knownOwner("job"); known && owner.Node != "" {
			before = lastHeartbeat()
		}
		time.Sleep(time.Millisecond)
		node.ReceiveHeartbeat(heartbeat(test.from, test.epoch))
		if owner, _ := node.knownOwner("job"); owner.Node != test.owner {
			t.Errorf("after a heartbeat of %s in epoch %d: owner %s, want %s", test.from, test.epoch, owner.Node, test.owner)
		}
		if lastHeartbeat().After(before) != test.counts {
			t.Errorf("heartbeat of %s in epoch %d counts as the owner's: %v", test.from, test.epoch, !test.counts)
		}
	}
}

// A heartbeat of a former owner must not make the ownership of a local job unconfirmed.
func TestFormerOwnerHeartbeatKeepsOwnership(t *testing.T) {
	engine := newHoldingEngine(t)
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
	for epoch, unconfirmed := range map[uint32]bool{1: false, 3: true} {
		node.mutex.Lock()
		held.unconfirmedAt = time.Time{}
		node.mutex.Unlock()
		node.ReceiveHeartbeat(&wire.NodeBeat{
			Node: "node-8", Address: "node-8", Incarnation: 1, Jobs: []string{"job"}, Work: []wire.JobWork{{Job: "job", Epoch: epoch}},
		})
		node.mutex.Lock()
		if got := !held.unconfirmedAt.IsZero(); got != unconfirmed {
			t.Errorf("heartbeat with epoch %d makes the ownership unconfirmed: %v", epoch, got)
		}
		node.mutex.Unlock()
	}
}
