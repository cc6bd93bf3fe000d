package residency

import (
	"context"
	"testing"
)

func TestBoundsEntryRegion(t *testing.T) {
	for _, test := range []struct {
		name          string
		allowed       Set
		entry, region string
		replica, node bool
	}{
		{"unrestricted", Set{}, "north", "south", true, true},
		{"unrestricted, region unknown", Set{}, "", "", true, true},
		{"allowed region", Of([]string{"south"}, nil), "north", "south", true, true},
		{"entry region", Of([]string{"south"}, nil), "north", "north", false, true},
		{"neither allowed nor entry region", Of([]string{"south"}, nil), "north", "west", false, false},
		{"no allowed region", Of([]string{"south"}, []string{"west"}), "north", "north", false, true},
		{"entry region unknown", Of([]string{"south"}, nil), "", "north", false, false},
		{"both unknown", Of([]string{"south"}, nil), "", "", false, false},
		{"intersection of two requests", Of([]string{"south", "west"}, nil).And(Of(nil, []string{"west"})), "north", "south", false, false},
	} {
		bounds := NewBounds(test.allowed, test.entry)
		if replica, node := bounds.AllowsReplica(test.region), bounds.AllowsNode(test.region); replica != test.replica || node != test.node {
			t.Errorf("%s: replica %v, node %v, want %v, %v", test.name, replica, node, test.replica, test.node)
		}
		if got := BoundsOf(WithBounds(context.Background(), bounds)).AllowsNode(test.region); got != test.node {
			t.Errorf("%s: through a context: %v, want %v", test.name, got, test.node)
		}
	}
}
