package watchcache

import (
	"fmt"
	"testing"
)

func TestHelpersOfOtherZonesComeFirst(t *testing.T) {
	self := Node{Name: "self", Zone: "b"}
	for _, test := range []struct {
		perZone int
		inOwn   int
	}{{1, 0}, {10, 1}, {maxFollowers, standbyReaders}} {
		nodes := []Node{self}
		for number := range test.perZone {
			for _, zone := range []string{"a", "b", "c"} {
				node := Node{Name: fmt.Sprintf("%s-%d", zone, number), Zone: zone}
				if zone == "b" && test.perZone == 1 {
					continue
				}
				nodes = append(nodes, node)
			}
		}
		helpers := helpersOf(self, nodes)
		if want := 2 + test.inOwn; len(helpers) != want {
			t.Errorf("%d nodes per zone: %d helpers, want %d", test.perZone, len(helpers), want)
			continue
		}
		zones := map[string]bool{}
		for index, helper := range helpers {
			if other := helper.Zone != self.Zone; other != (index < 2) || (other && zones[helper.Zone]) || helper == self {
				t.Errorf("%d nodes per zone: unexpected helper %d: %+v", test.perZone, index, helper)
			}
			zones[helper.Zone] = true
		}
	}
}
