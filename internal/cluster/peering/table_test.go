package peering

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"k8s.io/klog/v2"

	"github.com/pathtally/pathtally/internal/environment"
	"github.com/pathtally/pathtally/internal/store/objectstore"
	"github.com/pathtally/pathtally/internal/wire"
	"github.com/pathtally/pathtally/standin/metastore"
)

// recorder is a network that records what is sent and replies to no call.
type recorder struct {
	mutex sync.Mutex
	sent  [][]string
	calls []string
}

var _ environment.Peers = (*recorder)(nil)

func (r *recorder) Send(address string, message wire.Message) {
	r.Broadcast([]string{address}, message)
}

func (r *recorder) Broadcast(addresses []string, _ wire.Message) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.sent = append(r.sent, addresses)
}

func (r *recorder) Call(address string, _ wire.Message, _ time.Duration, done func(wire.Message, error)) {
	r.mutex.Lock()
	r.calls = append(r.calls, address)
	r.mutex.Unlock()
	done(nil, environment.ErrPeerUnreachable)
}

func (r *recorder) last() []string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if len(r.sent) == 0 {
		return nil
	}
	return r.sent[len(r.sent)-1]
}

func (r *recorder) count() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return len(r.sent)
}

func newTestTable(node string, store objectstore.Store, peers environment.Peers, targets ...string) *Table {
	return NewTable(Config{
		Node: node, Address: "address-of-" + node, Zone: "zone", Incarnation: 1, Store: store, Peers: peers, Logger: klog.Background(),
		FillHeartbeat: func(*wire.NodeBeat) {}, OnHeartbeat: func(*wire.NodeBeat) {}, HeartbeatTargets: func() []string { return targets },
	})
}

// receiveHeartbeat makes a table receive the heartbeat of a peer.
func receiveHeartbeat(table *Table, node string, jobs ...string) {
	table.HandleHeartbeat(&wire.NodeBeat{Node: node, Address: "address-of-" + node, Zone: "zone", Incarnation: 1, Jobs: jobs})
}

// Guards against each owner of jobs sending its heartbeats to all of hundreds of nodes.
func TestHeartbeatRecipients(t *testing.T) {
	network := &recorder{}
	table := newTestTable("self", metastore.New(), network, "node-7", "node-unknown")
	for number := range 300 {
		receiveHeartbeat(table, fmt.Sprintf("node-%d", number))
	}
	receiveHeartbeat(table, "node-3", "job")
	table.SendHeartbeat()
	if got, want := network.last(), []string{"address-of-node-3", "address-of-node-7"}; !slices.Equal(got, want) {
		t.Errorf("heartbeat sent to %v, want %v", got, want)
	}
	table.Broadcast()
	if got := len(network.last()); got != 300 {
		t.Errorf("broadcast sent to %d peers, want 300", got)
	}
}

func TestInactivePeerGetsNoHeartbeats(t *testing.T) {
	network := &recorder{}
	table := newTestTable("self", metastore.New(), network)
	receiveHeartbeat(table, "owner", "job")
	table.peers["owner"].LastActive = time.Now().Add(-activeTimeout)
	table.SendHeartbeat()
	if got := network.count(); got != 0 {
		t.Errorf("%d heartbeats sent to %v, want none", got, network.last())
	}
}

func TestScheduleHeartbeatCoalescesChanges(t *testing.T) {
	network := &recorder{}
	table := newTestTable("self", metastore.New(), network, "target")
	receiveHeartbeat(table, "target")
	for range 1000 {
		table.ScheduleHeartbeat()
	}
	first := network.count()
	if first == 0 {
		t.Fatal("first change was not sent at once")
	}
	table.mutex.Lock()
	due := table.heartbeatDue
	table.mutex.Unlock()
	for end := time.Now().Add(10 * time.Second); due && network.count() == first && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	if due && network.count() == first {
		t.Error("last change was never sent")
	}
	if network.count() > 500 {
		t.Errorf("%d heartbeats for 1000 changes, want at most 500", network.count())
	}
}

// Guards against a new node sending join requests to all nodes, each of which replies with
// its whole list.
func TestJoinCallsSeedsOnly(t *testing.T) {
	store := metastore.New()
	ctx := context.Background()
	for number := range 50 {
		other := newTestTable(fmt.Sprintf("node-%d", number), store, &recorder{})
		if _, err := other.register(ctx); err != nil {
			t.Fatal(err)
		}
	}
	for _, test := range []struct{ seeds, called []string }{
		{[]string{"seed"}, []string{"seed"}},
		// A seed reads the store, since other nodes ask it.
		{[]string{"seed", "address-of-self"}, nil},
	} {
		network := &recorder{}
		table := newTestTable("self", store, network)
		table.SetSeeds(test.seeds)
		table.Join(ctx)
		if got := len(table.NodeNames()); got != 51 {
			t.Errorf("%d nodes known, want 51", got)
		}
		if !slices.Equal(network.calls, test.called) {
			t.Errorf("called %v, want %v", network.calls, test.called)
		}
		if network.count() != 0 {
			t.Errorf("%d one-way messages sent to join, want none", network.count())
		}
	}
}

func TestHandleJoinRepliesWithPeers(t *testing.T) {
	table := newTestTable("seed", metastore.New(), &recorder{})
	receiveHeartbeat(table, "other")
	reply := table.HandleJoin(&wire.NodeBeat{Node: "new", Address: "address-of-new", Zone: "zone", Incarnation: 1})
	joining := newTestTable("new", metastore.New(), &recorder{})
	joining.HandleHeartbeat(reply)
	if got, want := joining.NodeNames(), []string{"new", "other", "seed"}; !slices.Equal(got, want) {
		t.Errorf("known nodes %v, want %v", got, want)
	}
	if peer, _ := joining.Get("other"); peer.Zone != "zone" || peer.Address != "address-of-other" {
		t.Errorf("unexpected entry of the other node: %+v", peer)
	}
}

func TestRegisterReplacesEarlierProcess(t *testing.T) {
	store := metastore.New()
	ctx := context.Background()
	old := newTestTable("self", store, &recorder{})
	if isNew, err := old.register(ctx); err != nil || !isNew {
		t.Fatalf("first entry: isNew %v, error %v", isNew, err)
	}
	if isNew, err := old.register(ctx); err != nil || isNew {
		t.Fatalf("same entry: isNew %v, error %v", isNew, err)
	}
	restarted := newTestTable("self", store, &recorder{})
	restarted.config.Incarnation = 2
	if isNew, err := restarted.register(ctx); err != nil || isNew {
		t.Fatalf("entry of a later process: isNew %v, error %v", isNew, err)
	}
	peer := newTestTable("peer", store, &recorder{})
	if err := peer.readEntries(ctx); err != nil {
		t.Fatal(err)
	}
	if known, _ := peer.Get("self"); known.Incarnation != 2 {
		t.Errorf("incarnation is %d, want 2", known.Incarnation)
	}
}

func TestTableAppliesEntries(t *testing.T) {
	table := newTestTable("self", metastore.New(), &recorder{})
	object := func(name, spec string) objectstore.Object {
		return objectstore.Object{Name: name, Spec: []byte(spec)}
	}
	table.Replace([]objectstore.Object{object("a", `{"address":"a1","zone":"z","incarnation":5}`), object("broken", `[`)}, false)
	before := table.MembershipVersion()
	table.Apply([]objectstore.Change{{Object: object("a", `{"address":"a2","zone":"z","incarnation":6}`)}}, false)
	if peer, _ := table.Get("a"); peer.Address != "a2" || peer.Incarnation != 6 {
		t.Errorf("unexpected peer after a change: %+v", peer)
	}
	if table.MembershipVersion() != before {
		t.Error("new address changed the membership version")
	}
	receiveHeartbeat(table, "a") // a late heartbeat of an earlier process
	if peer, _ := table.Get("a"); peer.Address != "a2" || !peer.LastHeartbeat.IsZero() {
		t.Errorf("unexpected peer after a heartbeat of an earlier process: %+v", peer)
	}
	table.Apply([]objectstore.Change{{Deleted: true, Object: object("a", ``)}}, false)
	if _, known := table.Get("a"); known || table.MembershipVersion() == before {
		t.Error("node is still known after its entry was deleted")
	}
}
