package usage

import (
	"maps"
	"math/rand/v2"
	"testing"

	"github.com/pathtally/pathtally/internal/wire"
)

// pushOf returns a push with one tenant's count of one window.
func pushOf(node string, incarnation uint64, window int64, tenant string, count uint64) *wire.UsagePush {
	return &wire.UsagePush{Node: node, Incarnation: incarnation, Windows: []wire.UsageWindow{
		{Number: window, Counts: []wire.TenantCount{{Tenant: tenant, Count: count}}},
	}}
}

// Repeated and reordered pushes must not change the sum, as long as the newest push of each
// process arrives.
func TestSumIgnoresOrderOfPushes(t *testing.T) {
	var pushes []*wire.UsagePush
	want := Counts{}
	for _, node := range []string{"one", "two"} {
		for incarnation := range uint64(2) {
			for count := range uint64(5) {
				pushes = append(pushes, pushOf(node, incarnation, 7, "t", count+1))
			}
			want["t"] += 5
		}
	}
	random := rand.New(rand.NewPCG(1, 2))
	for range 50 {
		collected := newCollector()
		for _, number := range random.Perm(len(pushes)) {
			for range 1 + random.IntN(2) {
				collected.add(pushes[number])
			}
		}
		if got, sources := collected.sum(7); !maps.Equal(got, want) || sources != 4 {
			t.Fatalf("sum is %v from %d sources, want %v from 4", got, sources, want)
		}
	}
}

// Windows that are never dropped would fill the memory.
func TestCollectorDropsOldWindows(t *testing.T) {
	collected := newCollector()
	for window := range int64(10) {
		collected.add(pushOf("one", 1, window, "t", 1))
	}
	collected.dropBefore(5)
	if _, sources := collected.sum(4); sources != 0 {
		t.Error("dropped window still has counts")
	}
	if number, known := collected.firstAfter(6); !known || number != 7 {
		t.Errorf("first window after 6 is %d, found %v, want 7", number, known)
	}
	if _, known := collected.firstAfter(9); known {
		t.Error("found a window after the last one")
	}
}
