package watchcache

import (
	"fmt"
	"testing"
	"time"
)

// largeCount is more nodes than one reader can serve.
const largeCount = maxFollowers + 40

func TestFollowersAreSpreadEvenly(t *testing.T) {
	for _, count := range []int{2, fanOut + 1, fanOut + 2, 170, 985, 2000} {
		children := map[int]int{}
		for rank := 1; rank < count; rank++ {
			parent := parentRank(rank)
			if parent < 0 || parent >= rank {
				t.Fatalf("parent of rank %d is rank %d, want one before it", rank, parent)
			}
			children[parent]++
		}
		for rank, followers := range children {
			if followers > fanOut {
				t.Errorf("of %d nodes, %d follow the node of rank %d, want at most fanOut", count, followers, rank)
			}
		}
		if leaves := count - 1 - fanOut; leaves > 0 && leaves < fanOut*fanOut && children[1] > leaves/fanOut+1 {
			t.Errorf("of %d nodes, %d follow the node of rank 1, but %d the node of rank %d", count, children[1], children[fanOut], fanOut)
		}
	}
}

func TestLargestNodesServeMostFollowers(t *testing.T) {
	var others []Node
	for number := range largeCount {
		node := Node{Name: fmt.Sprintf("node-%d", number), Capacity: 192}
		if number < 10 {
			node.Capacity = 800
		}
		others = append(others, node)
	}
	for _, self := range others[20:60] {
		position := positionOf(self, others)
		if !position.follows || !position.inTree {
			t.Fatalf("%s: unexpected position %+v", self.Name, position)
		}
		if !position.relayed && position.parent.Capacity != 800 {
			t.Errorf("%s follows %s, want one of the largest nodes", self.Name, position.parent.Name)
		}
	}
}

// calls returns the number of lists and watches that reached the store.
func (c *cluster) calls() int64 {
	sum := int64(0)
	for _, node := range c.nodes {
		sum += node.store.servedCalls.Load()
	}
	return sum
}

// Each change costs the store one call and reaches each node over at most three links.
func TestLargeAreaHasOneReader(t *testing.T) {
	withCluster(t, largeCount, func(c *cluster) {
		if readers := c.readers(); len(readers) != 1 {
			t.Fatalf("%d nodes read the store, want 1", len(readers))
		}
		before := c.calls()
		for round := range 10 {
			c.store.Write(testKind, "first", round+2)
			advance(time.Second)
		}
		c.waitFor(c.nodes, "first", "11", normalDelay)
		if calls := c.calls() - before; calls > 14 {
			t.Errorf("%d store calls for 10 changes, want at most 14", calls)
		}
		for _, node := range c.nodes {
			if age := node.source.CacheAge(); age > staleAge {
				t.Errorf("cache age of %s is %s, want at most staleAge", node.node.Name, age)
			}
		}
	})
}

// callsToStart returns the number of store calls with which the given number of nodes
// starts.
func callsToStart(t *testing.T, count int) (calls int64) {
	withCluster(t, count, func(c *cluster) {
		c.waitFor(c.nodes, "first", "1", 4*time.Second)
		calls = c.calls()
	})
	return calls
}

// Guards against every starting node listing all replicas because its reader has not listed
// in time.
func TestStartCallsIndependentOfNodeCount(t *testing.T) {
	few, many := callsToStart(t, 50), callsToStart(t, 400)
	if many > few+standbyReaders {
		t.Errorf("%d store calls to start 400 nodes, but %d to start 50", many, few)
	}
}

// Guards against late changes and many readers when the reader of a large area is lost.
func TestLargeAreaDelayAfterReaderLoss(t *testing.T) {
	for _, fault := range readerFaults {
		t.Run(fault.name, func(t *testing.T) {
			for phase := range 2 {
				withCluster(t, largeCount, func(c *cluster) {
					reader, followers := c.readers()[0], c.followers()
					advance(time.Duration(phase) * 77 * time.Millisecond)
					before := c.calls()
					fault.inject(reader)
					advance(time.Duration(phase%3) * 130 * time.Millisecond)
					c.store.Write(testKind, "first", 2)
					c.waitFor(followers, "first", "2", maxDelay)
					advance(4 * time.Second)
					if calls := c.calls() - before; calls > 12*(standbyReaders+1) {
						t.Errorf("phase %d: %d store calls, want few nodes to read the store", phase, calls)
					}
				})
			}
		})
	}
}

// A tenth of the nodes is lost at once, including the reader and some relaying nodes.
func TestLargeAreaDelayAfterManyLosses(t *testing.T) {
	for phase := range 2 {
		withCluster(t, largeCount, func(c *cluster) {
			reader := c.readers()[0]
			advance(time.Duration(phase) * 77 * time.Millisecond)
			var rest []*testNode
			for number, node := range c.nodes {
				if node == reader || number%10 == phase {
					node.dead.Store(true)
					node.stop()
					continue
				}
				rest = append(rest, node)
			}
			c.store.Write(testKind, "first", 2)
			c.waitFor(rest, "first", "2", maxDelay+staleAge)
		})
	}
}

// Guards against probes by all nodes of a large area during an outage.
func TestOutageCallsIndependentOfNodeCount(t *testing.T) {
	callsInOutage := func(count int) (calls int) {
		withCluster(t, count, func(c *cluster) {
			for _, node := range c.nodes {
				node.store.cut.Store(true)
			}
			advance(2500 * time.Millisecond)
			for _, node := range c.nodes {
				calls += int(node.store.allCalls.Load())
			}
			for _, node := range c.nodes {
				node.store.cut.Store(false)
			}
			c.store.Write(testKind, "first", 2)
			c.waitFor(c.nodes, "first", "2", 3*time.Second)
		})
		return calls
	}
	few, many := callsInOutage(largeCount), callsInOutage(2*largeCount)
	if many > few+few/4 {
		t.Errorf("%d calls by %d nodes in an outage, but %d by %d", many, 2*largeCount, few, largeCount)
	}
}

// The store refuses a third of the nodes, including the reader and possibly its helpers in
// other zones.
func TestLargeAreaDelayWithRefusedNodes(t *testing.T) {
	for phase := range 2 {
		withCluster(t, largeCount, func(c *cluster) {
			advance(time.Duration(phase) * 77 * time.Millisecond)
			reader := c.readers()[0]
			for number, node := range c.nodes {
				if node == reader || (number+phase)%3 == 0 {
					node.store.cut.Store(true)
				}
			}
			c.store.Write(testKind, "first", 2)
			c.waitFor(c.nodes, "first", "2", maxDelay+staleAge)
			advance(3 * time.Second)
			c.store.Write(testKind, "first", 3)
			c.waitFor(c.nodes, "first", "3", maxDelay)
			if readers := c.readers(); len(readers) > standbyReaders+1 {
				t.Errorf("phase %d: %d nodes read the store, want at most standbyReaders+1", phase, len(readers))
			}
		})
	}
}
