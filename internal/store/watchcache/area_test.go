package watchcache

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// twoRegions has two zones in each of two regions.
var twoRegions = map[string]string{"east-a": "east", "east-b": "east", "west-a": "west", "west-b": "west"}

// A small deployment has one reader across its zones and regions.
func TestSmallDeploymentHasOneReader(t *testing.T) {
	withZones(t, 5, twoRegions, func(c *cluster) {
		if readers := c.readers(); len(readers) != 1 {
			t.Errorf("%d nodes read the store, want 1", len(readers))
		}
		c.store.Write(testKind, "first", 2)
		c.waitFor(c.nodes, "first", "2", normalDelay)
	})
}

// A reader serves a bounded number of nodes; in a larger deployment each region has its own
// reader.
func TestLargeDeploymentHasReaderPerRegion(t *testing.T) {
	withZones(t, maxFollowers/4+1, twoRegions, func(c *cluster) {
		readers := c.readers()
		if len(readers) != 2 || twoRegions[readers[0].node.Zone] == twoRegions[readers[1].node.Zone] {
			t.Errorf("%d nodes read the store, want one in each of two regions", len(readers))
		}
	})
}

// Guards against late changes while regions are disconnected, and against more than one
// reader once they are connected again.
func TestDisconnectedRegionsReadSeparately(t *testing.T) {
	for phase := range 6 {
		withZones(t, 5, twoRegions, func(c *cluster) {
			advance(time.Duration(phase) * 77 * time.Millisecond)
			c.disconnected.Store(true)
			c.store.Write(testKind, "first", 2)
			c.waitFor(c.nodes, "first", "2", maxDelay)
			advance(3 * time.Second)
			if readers := c.readers(); len(readers) > 3 {
				t.Errorf("phase %d: %d nodes read the store while regions are disconnected, want at most 3", phase, len(readers))
			}
			c.disconnected.Store(false)
			advance(40 * time.Second)
			if readers := c.readers(); len(readers) != 1 {
				t.Errorf("phase %d: %d nodes read the store in the end, want 1", phase, len(readers))
			}
		})
	}
}

// Guards against all followers reading the store at once when the reader is lost or refused
// by the store: at most one node per zone may, and no follower gets changes late.
func TestReaderLossAddsFewReaders(t *testing.T) {
	for _, fault := range readerFaults {
		t.Run(fault.name, func(t *testing.T) {
			for phase := range 8 {
				withZones(t, 8, twoRegions, func(c *cluster) {
					reader, followers := c.readers()[0], c.followers()
					advance(time.Duration(phase) * 77 * time.Millisecond)
					fault.inject(reader)
					advance(time.Duration(phase%3) * 130 * time.Millisecond)
					c.store.Write(testKind, "first", 2)
					c.waitFor(followers, "first", "2", maxDelay)
					advance(2 * time.Second)
					if readers := c.readers(); len(readers) > len(twoRegions) {
						t.Errorf("phase %d: %d nodes read the store, want at most one per zone", phase, len(readers))
					}
				})
			}
		})
	}
}

// Guards against late changes when the store refuses many nodes, including the reader.
func TestChangeDelayWithRefusedNodes(t *testing.T) {
	for phase := range 8 {
		withZones(t, 8, twoRegions, func(c *cluster) {
			advance(time.Duration(phase) * 77 * time.Millisecond)
			reader := c.readers()[0]
			var accepted []*testNode
			for number, node := range c.nodes {
				if node == reader || (number+phase)%3 == 0 {
					node.store.cut.Store(true)
				} else {
					accepted = append(accepted, node)
				}
			}
			c.store.Write(testKind, "first", 2)
			c.waitFor(accepted, "first", "2", maxDelay)
			advance(3 * time.Second)
			c.store.Write(testKind, "first", 3)
			c.waitFor(c.nodes, "first", "3", maxDelay)
		})
	}
}

// Guards against frequent polls of a machine that is lost for good but still listed, each
// of which delays changes.
func TestLostReaderIsPolledWithBackoff(t *testing.T) {
	withZones(t, 5, twoRegions, func(c *cluster) {
		lost, followers := c.readers()[0], c.followers()
		lost.dead.Store(true)
		lost.stop()
		advance(time.Minute)
		if readers := c.readers(); len(readers) != 1 {
			t.Errorf("%d nodes read the store a minute later, want 1", len(readers))
		}
		advance(2 * time.Minute)
		if polls := lost.pollsWhileDead.Load(); polls > int64(6*len(followers)) {
			t.Errorf("lost node polled %d times by %d nodes in three minutes", polls, len(followers))
		}
	})
}

func TestAreasOf(t *testing.T) {
	// others returns itself and the given number of nodes in each zone.
	others := func(perZone map[string]int) []Node {
		nodes := []Node{{Name: "self", Zone: "east-a"}}
		for zone, count := range perZone {
			for number := range count {
				nodes = append(nodes, Node{Name: fmt.Sprintf("%s-%d", zone, number), Zone: zone})
			}
		}
		return nodes
	}
	for _, test := range []struct {
		name    string
		perZone map[string]int
		regions map[string]string
		want    []areaKind
	}{
		{"alone", nil, twoRegions, []areaKind{zoneArea}},
		{"one zone", map[string]int{"east-a": 5}, twoRegions, []areaKind{zoneArea}},
		{"one region", map[string]int{"east-a": 5, "east-b": 5}, twoRegions, []areaKind{regionArea, zoneArea}},
		{"two regions", map[string]int{"east-a": 5, "east-b": 5, "west-a": 1}, twoRegions, []areaKind{deploymentArea, regionArea, zoneArea}},
		{"no regions known", map[string]int{"east-a": 5, "east-b": 5}, nil, []areaKind{deploymentArea, zoneArea}},
		{"large deployment", map[string]int{"east-a": 60, "east-b": 60, "west-a": 8}, twoRegions, []areaKind{regionArea, zoneArea}},
		{"large region", map[string]int{"east-a": 60, "east-b": 68}, twoRegions, []areaKind{zoneArea}},
		{"large zone", map[string]int{"east-a": 200}, twoRegions, []areaKind{zoneArea}},
	} {
		var kinds []areaKind
		for _, area := range areasOf(Node{Name: "self", Zone: "east-a"}, test.regions, others(test.perZone)) {
			kinds = append(kinds, area.kind)
		}
		if !slices.Equal(kinds, test.want) {
			t.Errorf("%s: areas %v, want %v", test.name, kinds, test.want)
		}
	}
}
