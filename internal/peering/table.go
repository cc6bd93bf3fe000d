package peering

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"strings"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/pathtally/pathtally/internal/environment"
	"github.com/pathtally/pathtally/internal/objectstore"
	"github.com/pathtally/pathtally/internal/wire"
)

const (
	// Kind is the kind of the nodes' entries in the metadata store.
	Kind = "nodes"
	// greetTime bounds a greeting.
	greetTime = 800 * time.Millisecond
	// joinPause is the time between tries to write and read the entries.
	joinPause = 500 * time.Millisecond
	// greetRounds is how often a node that has not answered is greeted, and
	// greetPause the time between.
	greetRounds = 4
	greetPause  = time.Second
)

// Config is what a Table needs.
type Config struct {
	Node        string
	Address     string
	Zone        string
	Incarnation uint64
	Seeds       []string
	Store       objectstore.Store
	Peers       environment.Peers
	Logger      klog.Logger
	// Beat fills in what this node has to tell.
	Beat func(beat *wire.NodeBeat)
	// OnBeat takes what another node has told.
	OnBeat func(beat *wire.NodeBeat)
}

// Table is a node's list of its peers. It is safe for use by many goroutines.
type Table struct {
	config Config
	mutex  sync.Mutex
	seeds  []string
	peers  map[string]*Peer
	joined bool
}

// NewTable returns a table that knows nobody.
func NewTable(config Config) *Table {
	return &Table{config: config, seeds: config.Seeds, peers: map[string]*Peer{}}
}

// SetSeeds changes the addresses to join through.
func (t *Table) SetSeeds(seeds []string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.seeds = seeds
}

// Join writes this node's entry, reads the others' and greets them, until the
// context ends or the store has answered.
func (t *Table) Join(ctx context.Context) {
	for ctx.Err() == nil {
		t.greetSeeds(ctx)
		if err := t.register(ctx); err != nil {
			t.config.Logger.V(1).Info("node entry not written", "error", err.Error())
		} else if err := t.readEntries(ctx); err != nil {
			t.config.Logger.V(1).Info("node entries not read", "error", err.Error())
		} else {
			t.mutex.Lock()
			t.joined = true
			t.mutex.Unlock()
			return
		}
		objectstore.Pause(ctx, joinPause)
	}
}

// greetSeeds greets the seeds, which know others, until the store is read.
func (t *Table) greetSeeds(ctx context.Context) {
	t.mutex.Lock()
	seeds := t.seeds
	t.mutex.Unlock()
	for _, seed := range seeds {
		if seed != t.config.Address {
			t.greet(ctx, seed, greetRounds)
		}
	}
}

// register writes this node's entry.
func (t *Table) register(ctx context.Context) error {
	spec, err := json.Marshal(record{Address: t.config.Address, Zone: t.config.Zone, Incarnation: t.config.Incarnation})
	if err != nil {
		return err
	}
	_, err = t.config.Store.Create(ctx, Kind, t.config.Node, spec)
	var conflict *objectstore.ConflictError
	if !errors.As(err, &conflict) {
		return err
	}
	var standing record
	if json.Unmarshal(conflict.Current.Spec, &standing) == nil && standing.Address == t.config.Address {
		return nil
	}
	_, err = t.config.Store.Replace(ctx, Kind, t.config.Node, spec, objectstore.Unconditional)
	return err
}

// readEntries reads the entries of all nodes and greets those not known.
func (t *Table) readEntries(ctx context.Context) error {
	after := ""
	for {
		page, err := t.config.Store.List(ctx, Kind, after, objectstore.Linearizable)
		if err != nil {
			return err
		}
		for _, object := range page.Objects {
			var entry record
			if json.Unmarshal(object.Spec, &entry) == nil {
				t.meet(ctx, Peer{Node: object.Name, Address: entry.Address, Zone: entry.Zone, Incarnation: entry.Incarnation})
			}
		}
		if !page.More || len(page.Objects) == 0 {
			return nil
		}
		after = page.Objects[len(page.Objects)-1].Name
	}
}

// meet adds a peer and greets it if it is new or has moved.
func (t *Table) meet(ctx context.Context, peer Peer) {
	if peer.Node == t.config.Node || peer.Address == "" {
		return
	}
	t.mutex.Lock()
	standing := t.peers[peer.Node]
	known := standing != nil && standing.Address == peer.Address
	if !known {
		t.peers[peer.Node] = &peer
	}
	t.mutex.Unlock()
	if !known {
		t.greet(ctx, peer.Address, 0)
	}
}

// greet tells a node of this one and learns whom it knows.
func (t *Table) greet(ctx context.Context, address string, round int) {
	t.config.Peers.Call(address, t.greeting(), greetTime, func(reply wire.Message, err error) {
		if ctx.Err() != nil {
			return
		}
		if beat, ok := reply.(*wire.NodeBeat); ok && err == nil {
			t.Take(ctx, beat)
			return
		}
		if round+1 < greetRounds {
			time.AfterFunc(greetPause, func() { t.greet(ctx, address, round+1) })
		}
	})
}

// greeting is a beat with everybody this node knows.
func (t *Table) greeting() *wire.NodeBeat {
	beat := t.beat()
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for _, peer := range t.peers {
		beat.Peers = append(beat.Peers, wire.PeerAddress{Node: peer.Node, Address: peer.Address})
	}
	return beat
}

func (t *Table) beat() *wire.NodeBeat {
	beat := &wire.NodeBeat{Node: t.config.Node, Address: t.config.Address, Zone: t.config.Zone, Incarnation: t.config.Incarnation}
	t.config.Beat(beat)
	return beat
}

// Greeted answers another node's greeting.
func (t *Table) Greeted(ctx context.Context, beat *wire.NodeBeat) *wire.NodeBeat {
	t.Take(ctx, beat)
	return t.greeting()
}

// Take takes a beat of another node.
func (t *Table) Take(ctx context.Context, beat *wire.NodeBeat) {
	if beat.Node == t.config.Node {
		return
	}
	t.mutex.Lock()
	standing := t.peers[beat.Node]
	if standing == nil || standing.Incarnation <= beat.Incarnation {
		t.peers[beat.Node] = &Peer{Node: beat.Node, Address: beat.Address, Zone: beat.Zone, Incarnation: beat.Incarnation, Heard: time.Now()}
	}
	t.mutex.Unlock()
	for _, other := range beat.Peers {
		t.meet(ctx, Peer{Node: other.Node, Address: other.Address})
	}
	t.config.OnBeat(beat)
}

// Broadcast sends this node's beat to all peers.
func (t *Table) Broadcast() {
	t.config.Peers.Broadcast(t.addresses(), t.beat())
}

func (t *Table) addresses() []string {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	addresses := make([]string, 0, len(t.peers))
	for _, peer := range t.peers {
		addresses = append(addresses, peer.Address)
	}
	slices.Sort(addresses)
	return addresses
}

// Get returns a peer by its node's name.
func (t *Table) Get(node string) (Peer, bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	peer := t.peers[node]
	if peer == nil {
		return Peer{}, false
	}
	return *peer, true
}

// Peers returns all peers known.
func (t *Table) Peers() []Peer {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	peers := make([]Peer, 0, len(t.peers))
	for _, peer := range t.peers {
		peers = append(peers, *peer)
	}
	return peers
}

// Nodes returns the names of all nodes known, this one included.
func (t *Table) Nodes() []string {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	nodes := []string{t.config.Node}
	for node := range t.peers {
		nodes = append(nodes, node)
	}
	slices.SortFunc(nodes, strings.Compare)
	return nodes
}

// Joined tells whether the entries of the other nodes have been read.
func (t *Table) Joined() bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.joined
}
