package placement

import (
	"cmp"
	"slices"
	"time"
)

const (
	// minYieldTime is the remaining time from which a run gives up its slot. A run that ends
	// sooner soon releases the slot anyway, and its trainer, which waits for the step although
	// it is late, would fall further behind by the interruption.
	minYieldTime = 2 * time.Second
	// maxYieldsPerScan bounds the runs that give up their slots in one scan. Further ones
	// follow if the demand persists.
	maxYieldsPerScan = 8
)

// Holder is a view of a run of a step that cannot be in time.
type Holder struct {
	// Index identifies the run to the caller.
	Index    int
	Replica  string
	Priority int
	// RemainingTime is the expected time until the run ends.
	RemainingTime time.Duration
}

// Demand is a number of items that need a slot at once for their step to be in time.
type Demand struct {
	Priority int
	// Replicas are those at which the items may run.
	Replicas []*Replica
	Slots    int
}

// Yields returns the indices of the holders that give up their slots to the demands for
// which no slot is free. A holder yields only to a demand of its own or a higher priority.
// Those that would keep their slots longest yield first.
func Yields(holders []Holder, demands []Demand) []int {
	holders = slices.DeleteFunc(slices.Clone(holders), func(holder Holder) bool { return holder.RemainingTime < minYieldTime })
	slices.SortStableFunc(holders, func(a, b Holder) int { return cmp.Compare(b.RemainingTime, a.RemainingTime) })
	var yielding []int
	taken := map[*Replica]int{}
	for _, demand := range demands {
		for range demand.Slots {
			if len(yielding) == maxYieldsPerScan || len(holders) == 0 {
				return yielding
			}
			if free := slices.IndexFunc(demand.Replicas, func(replica *Replica) bool { return taken[replica] < replica.FreeSlots() }); free >= 0 {
				taken[demand.Replicas[free]]++
				continue
			}
			held := slices.IndexFunc(holders, demand.canUse)
			if held < 0 {
				break
			}
			yielding = append(yielding, holders[held].Index)
			holders = slices.Delete(holders, held, held+1)
		}
	}
	return yielding
}

// canUse reports whether a holder's slot would serve the demand.
func (d Demand) canUse(holder Holder) bool {
	return holder.Priority >= d.Priority && slices.ContainsFunc(d.Replicas, func(replica *Replica) bool { return replica.Name == holder.Replica })
}
