package weightorders

import (
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/pathtally/pathtally/internal/replicas/directory"
)

// leastSharedReference is a simple reference implementation of leastShared. It selects each
// replica with a search of all that are left.
func leastSharedReference(replicas []*directory.Replica, model string, counts map[string]int, current []*directory.Replica, count int) []*directory.Replica {
	var selected []*directory.Replica
	for range count {
		var best *directory.Replica
		for _, replica := range replicas {
			if slices.Contains(current, replica) || slices.Contains(selected, replica) {
				continue
			}
			if best == nil || counts[replica.ID] < counts[best.ID] ||
				(counts[replica.ID] == counts[best.ID] && rendezvousWeight(replica.ID, model) > rendezvousWeight(best.ID, model)) {
				best = replica
			}
		}
		if best == nil {
			break
		}
		selected = append(selected, best)
	}
	return selected
}

// Sorting the replicas once must select the same ones as the reference implementation.
func TestLeastSharedMatchesReference(t *testing.T) {
	random := rand.New(rand.NewPCG(5, 6))
	for range 100 {
		all := replicas(1 + random.IntN(40))
		counts := map[string]int{}
		var current []*directory.Replica
		for _, replica := range all {
			counts[replica.ID] = random.IntN(3)
			if random.IntN(3) == 0 {
				current = append(current, replica)
			}
		}
		count := random.IntN(45)
		want := leastSharedReference(all, "m", counts, current, count)
		if got := leastShared(all, "m", counts, current, count); !slices.Equal(got, want) {
			t.Fatalf("%d of %d replicas: selection differs from the reference", count, len(all))
		}
	}
}

// BenchmarkHomes guards against quadratic time in the number of
// replicas.
func BenchmarkHomes(b *testing.B) {
	all := replicas(3000)
	shares := sharesOf([]string{"a", "b", "c"}, map[string]float64{"a": 2, "b": 1, "c": 1})
	for b.Loop() {
		homes(all, shares, nil)
	}
}
