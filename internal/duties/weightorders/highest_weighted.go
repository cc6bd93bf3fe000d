package weightorders

import (
	"cmp"
	"slices"

	"github.com/pathtally/pathtally/internal/cluster/rendezvous"
)

// weightedReplica is a replica, in any representation, with its rendezvous weight for a
// model.
type weightedReplica[T any] struct {
	value  T
	id     string
	weight uint64
}

// highestWeighted returns the count replicas with the highest rendezvous weights for a model.
// Few of them change when replicas are added or removed.
func highestWeighted[T any](replicas []T, idOf func(T) string, model string, count int) []T {
	modelHash := rendezvous.Hash(model)
	all := make([]weightedReplica[T], len(replicas))
	for i, replica := range replicas {
		id := idOf(replica)
		all[i] = weightedReplica[T]{value: replica, id: id, weight: rendezvous.Weight(rendezvous.Hash(id), modelHash)}
	}
	slices.SortFunc(all, func(a, b weightedReplica[T]) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.id, b.id))
	})
	chosen := make([]T, count)
	for i := range chosen {
		chosen[i] = all[i].value
	}
	return chosen
}

// rendezvousWeight returns the rendezvous weight of a replica for a model.
func rendezvousWeight(replica, model string) uint64 {
	return rendezvous.Weight(rendezvous.Hash(replica), rendezvous.Hash(model))
}
