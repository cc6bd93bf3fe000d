package watchcache

import (
	"fmt"
	"testing"
	"time"
)

// large is more nodes than one reader can serve.
const large = maxFollowers + 40

func TestParentsAreSharedEvenly(t *testing.T) {
	for _, count := range []int{2, fanOut + 1, fanOut + 2, 170, 985, 2000} {
		children := map[int]int{}
		for place := 1; place < count; place++ {
			above := parentRank(place)
			if above < 0 || above >= place {
				t.Fatalf("%d follows %d", place, above)
			}
			children[above]++
		}
		for place, followers := range children {
			if followers > fanOut {
				t.Errorf("of %d nodes, %d follow the one in place %d", count, followers, place)
			}
		}
		if leaves := count - 1 - fanOut; leaves > 0 && leaves < fanOut*fanOut && children[1] > leaves/fanOut+1 {
			t.Errorf("of %d nodes, %d follow the one in place 1, %d the one in place %d", count, children[1], children[fanOut], fanOut)
		}
	}
}

func TestTheLargestNodesAnswerTheMost(t *testing.T) {
	var others []Node
	for number := range large {
		node := Node{Name: fmt.Sprintf("node-%d", number), Capacity: 192}
		if number < 10 {
			node.Capacity = 800
		}
		others = append(others, node)
	}
	for _, self := range others[20:60] {
		place := positionOf(self, others)
		if !place.follows || !place.inTree {
			t.Fatalf("%s: %+v", self.Name, place)
		}
		if !place.relayed && place.parent.Capacity != 800 {
			t.Errorf("%s follows %s", self.Name, place.parent.Name)
		}
	}
}

// calls returns the number of lists and watches that reached the store.
func (c *cluster) calls() int64 {
	sum := int64(0)
	for _, node := range c.nodes {
		sum += node.store.calls.Load()
	}
	return sum
}

// Each change costs the store one call and reaches each node over at most three links.
func TestOneNodeReadsForALargeArea(t *testing.T) {
	inCluster(t, large, func(c *cluster) {
		if readers := c.readers(); len(readers) != 1 {
			t.Fatalf("%d nodes read the store", len(readers))
		}
		before := c.calls()
		for round := range 10 {
			c.store.Write(testKind, "first", round+2)
			settle(time.Second)
		}
		c.await(c.nodes, "first", "11", soon)
		if calls := c.calls() - before; calls > 14 {
			t.Errorf("%d calls for 10 changes", calls)
		}
		for _, node := range c.nodes {
			if age := node.source.CacheAge(); age > staleAge {
				t.Errorf("the copies of %s are %s old", node.node.Name, age)
			}
		}
	})
}

// startCalls returns the number of store calls with which the given number of nodes starts.
func startCalls(t *testing.T, count int) (calls int64) {
	inCluster(t, count, func(c *cluster) {
		c.await(c.nodes, "first", "1", 4*time.Second)
		calls = c.calls()
	})
	return calls
}

// Guards against every starting node listing all replicas because its reader has not listed
// in time.
func TestAStartCostsTheStoreTheSameForAnyNumberOfNodes(t *testing.T) {
	few, many := startCalls(t, 50), startCalls(t, 400)
	if many > few+standbyReaders {
		t.Errorf("%d calls to start 400 nodes, %d to start 50", many, few)
	}
}

// Guards against late changes and many readers when the reader of a large area, or nodes
// that relay its changes, are lost.
func TestLossesInALargeAreaDelayNewsWithinTheBound(t *testing.T) {
	for _, trouble := range troubles {
		t.Run(trouble.name, func(t *testing.T) {
			for phase := range 2 {
				inCluster(t, large, func(c *cluster) {
					reader, followers := c.readers()[0], c.followers()
					settle(time.Duration(phase) * 77 * time.Millisecond)
					before := c.calls()
					trouble.begin(reader)
					settle(time.Duration(phase%3) * 130 * time.Millisecond)
					c.store.Write(testKind, "first", 2)
					c.await(followers, "first", "2", bound)
					settle(4 * time.Second)
					if calls := c.calls() - before; calls > 12*(standbyReaders+1) {
						t.Errorf("phase %d: %d calls", phase, calls)
					}
				})
			}
		})
	}
}

// A tenth of the nodes is lost at once, including the reader and some relaying nodes.
func TestManyLossesInALargeAreaDelayNewsWithinTheBound(t *testing.T) {
	for phase := range 2 {
		inCluster(t, large, func(c *cluster) {
			reader := c.readers()[0]
			settle(time.Duration(phase) * 77 * time.Millisecond)
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
			c.await(rest, "first", "2", bound+staleAge)
		})
	}
}

// Guards against probes by all nodes of a large area during an outage.
func TestAnOutageCostsTheSameForAnyNumberOfNodes(t *testing.T) {
	probes := func(count int) (asked int) {
		inCluster(t, count, func(c *cluster) {
			for _, node := range c.nodes {
				node.store.cut.Store(true)
			}
			settle(2500 * time.Millisecond)
			for _, node := range c.nodes {
				asked += int(node.store.asked.Load())
			}
			for _, node := range c.nodes {
				node.store.cut.Store(false)
			}
			c.store.Write(testKind, "first", 2)
			c.await(c.nodes, "first", "2", 3*time.Second)
		})
		return asked
	}
	few, many := probes(large), probes(2*large)
	if many > few+few/4 {
		t.Errorf("%d questions of %d nodes in an outage, %d of %d", many, 2*large, few, large)
	}
}

// The store refuses a third of the nodes, including the reader and possibly its fallback
// peers in other zones.
func TestStoreThatTurnsManyNodesOfALargeAreaAway(t *testing.T) {
	for phase := range 2 {
		inCluster(t, large, func(c *cluster) {
			settle(time.Duration(phase) * 77 * time.Millisecond)
			reader := c.readers()[0]
			for number, node := range c.nodes {
				if node == reader || (number+phase)%3 == 0 {
					node.store.cut.Store(true)
				}
			}
			c.store.Write(testKind, "first", 2)
			c.await(c.nodes, "first", "2", bound+staleAge)
			settle(3 * time.Second)
			c.store.Write(testKind, "first", 3)
			c.await(c.nodes, "first", "3", bound)
			if readers := c.readers(); len(readers) > standbyReaders+1 {
				t.Errorf("phase %d: %d nodes read the store", phase, len(readers))
			}
		})
	}
}
