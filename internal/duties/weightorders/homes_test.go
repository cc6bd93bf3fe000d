package weightorders

import (
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/pathtally/pathtally/internal/replicas/directory"
)

// leastSharedOneByOne is a simple reference implementation of leastShared. It selects each
// replica with a search of all that are left.
func leastSharedOneByOne(replicas []*directory.Replica, model string, counts map[string]int, has []*directory.Replica, some int) []*directory.Replica {
	var picked []*directory.Replica
	for range some {
		var best *directory.Replica
		for _, replica := range replicas {
			if slices.Contains(has, replica) || slices.Contains(picked, replica) {
				continue
			}
			if best == nil || counts[replica.ID] < counts[best.ID] ||
				(counts[replica.ID] == counts[best.ID] && pairWeight(replica.ID, model) > pairWeight(best.ID, model)) {
				best = replica
			}
		}
		if best == nil {
			break
		}
		picked = append(picked, best)
	}
	return picked
}

// Sorting the replicas once must select the same ones as the reference implementation.
func TestTheSameReplicasArePickedAtOnceAsOneByOne(t *testing.T) {
	random := rand.New(rand.NewPCG(5, 6))
	for range 100 {
		all := replicas(1 + random.IntN(40))
		counts := map[string]int{}
		var has []*directory.Replica
		for _, replica := range all {
			counts[replica.ID] = random.IntN(3)
			if random.IntN(3) == 0 {
				has = append(has, replica)
			}
		}
		some := random.IntN(45)
		want := leastSharedOneByOne(all, "m", counts, has, some)
		if got := leastShared(all, "m", counts, has, some); !slices.Equal(got, want) {
			t.Fatalf("%d of %d replicas: other ones are picked", some, len(all))
		}
	}
}

// BenchmarkHomesOfThreeThousandReplicas guards against quadratic time in the number of
// replicas.
func BenchmarkHomesOfThreeThousandReplicas(b *testing.B) {
	all := replicas(3000)
	shares := sharesOf([]string{"a", "b", "c"}, map[string]float64{"a": 2, "b": 1, "c": 1})
	for b.Loop() {
		homes(all, shares, nil)
	}
}
