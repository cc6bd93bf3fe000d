package node

import (
	"slices"

	"github.com/pathtally/pathtally/internal/standalone/membership"
	"github.com/pathtally/pathtally/internal/wire"
)

// storeDirectory finds the sample stores in the membership table.
type storeDirectory struct{ table *membership.Table }

// Usable implements rollout.Stores. A store that is leaving still answers,
// but gets no new samples.
func (d storeDirectory) Usable() []wire.Member {
	return slices.DeleteFunc(d.table.Usable(), func(member wire.Member) bool { return !member.Storage })
}

// ReplicationFactor implements rollout.Stores. Two zones keep each sample as
// soon as more than one store has ever been seen.
func (d storeDirectory) ReplicationFactor() int {
	if d.table.StorageMemberCount() > singleCopy {
		return replicatedCopies
	}
	return singleCopy
}
