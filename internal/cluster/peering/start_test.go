package peering

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pathtally/pathtally/internal/environment"
	"github.com/pathtally/pathtally/internal/wire"
	"github.com/pathtally/pathtally/standin/metastore"
)

// network connects tables by address.
type network struct {
	mutex  sync.Mutex
	tables map[string]*Table
	// peers counts the peers listed in all replies.
	peers   int
	replies int
}

func (n *network) Send(string, wire.Message)        {}
func (n *network) Broadcast([]string, wire.Message) {}

func (n *network) Call(address string, message wire.Message, _ time.Duration, done func(wire.Message, error)) {
	n.mutex.Lock()
	table := n.tables[address]
	n.mutex.Unlock()
	if table == nil {
		done(nil, environment.ErrPeerUnreachable)
		return
	}
	reply := table.HandleJoin(message.(*wire.NodeBeat))
	n.mutex.Lock()
	n.replies++
	n.peers += len(reply.Peers)
	n.mutex.Unlock()
	done(reply, nil)
}

// startupCosts returns the listings of nodes that the store serves and the addresses that
// one seed sends when the given number of nodes in five zones starts at once.
func startupCosts(t *testing.T, count int) (lists, sent int) {
	synctest.Test(t, func(t *testing.T) {
		store := metastore.New()
		joined := &network{tables: map[string]*Table{}}
		var seeds []string
		var tables []*Table
		for number := range count {
			table := newTestTable(fmt.Sprintf("node-%d", number), store, joined)
			table.config.Zone = fmt.Sprintf("zone-%d", number%5)
			tables = append(tables, table)
			joined.tables[table.config.Address] = table
			if number < 3 {
				seeds = append(seeds, table.config.Address)
			}
		}
		var started sync.WaitGroup
		for number, table := range tables {
			table.SetSeeds(seeds)
			started.Go(func() {
				time.Sleep(time.Duration(number%30) * 10 * time.Millisecond)
				table.Join(t.Context())
			})
		}
		started.Wait()
		for _, table := range tables {
			if !table.Joined() {
				t.Errorf("%s did not join", table.config.Node)
			}
		}
		lists, sent = int(store.Calls("list")), joined.peers/len(seeds)
	})
	return lists, sent
}

// Guards against every starting node listing all entries, and against every seed replying
// to each of them with all nodes.
func TestStartDoesNotListFromEveryNode(t *testing.T) {
	fewLists, _ := startupCosts(t, 50)
	manyLists, sent := startupCosts(t, 400)
	// The three seeds read all pages, of which 400 nodes have eight times as many as 50.
	if manyLists > 8*fewLists || fewLists > 3 {
		t.Errorf("%d pages listed by 400 nodes, %d by 50", manyLists, fewLists)
	}
	// Each node gets the nodes of its zone at most a few times.
	if bound := 400 / 3 * 400 / 5 * 4; sent > bound {
		t.Errorf("a seed sent %d addresses, want at most %d", sent, bound)
	}
}
