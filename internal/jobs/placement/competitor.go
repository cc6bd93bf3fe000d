package placement

import "time"

// MaxSlotLeave is how long an owner leaves the free slots of a replica to other owners. They
// learn of a free slot with the next heartbeat, within 300 ms, and this owner learns with
// their next one that they use it. A slot that is still free then is not needed.
const MaxSlotLeave = 600 * time.Millisecond

// FreeSlots returns the number of further items that the replica may get.
func (r *Replica) FreeSlots() int { return max(0, r.MaxLoad-r.Load) }

// Competitor is a view of an open job of another owner, as far as its heartbeats show it.
type Competitor struct {
	Priority int
	// TimeLeft is the time until the job is due, negative once it is late.
	TimeLeft time.Duration
	// Lag is how far the job's trainer is behind its period.
	Lag time.Duration
	// Waiting is the number of items that wait for a replica.
	Waiting int
}

// NeedsMore reports whether the items of a competitor need a slot more than an item of this
// owner does: they have a higher priority, or the item's step does not need the slot to be in
// time, or the item could wait until the competitor's step is due and still be in time. In the
// last case, the trainer that is behind is credited with the difference of the lags.
//
// Two owners that both are in time never leave a slot to each other: since an item's slack is
// at most its step's time left, the last condition holds for at most one of them.
func (c Competitor) NeedsMore(item Item) bool {
	switch {
	case !item.Competes || item.IsOverdue() || c.Waiting == 0:
		return false
	case c.Priority != item.Priority:
		return c.Priority < item.Priority
	case c.TimeLeft <= 0:
		return false
	case item.Reserve || item.class() == classYielding:
		return true
	}
	return item.slack() >= riskSlack+MaxSlotLeave && item.slack()+c.Lag-item.Lag > c.TimeLeft
}

// LeavesSlot reports whether an item leaves a free slot to competitors that share its
// replicas. free is the number of free slots that they share. The item takes a slot if the
// competitors that need it more have enough others.
func LeavesSlot(item Item, competitors []Competitor, free int) bool {
	waiting := 0
	for _, competitor := range competitors {
		if competitor.NeedsMore(item) {
			waiting += competitor.Waiting
		}
	}
	return waiting > 0 && free <= waiting
}
