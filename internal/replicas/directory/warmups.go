package directory

import "time"

// warmUp is what this node knows about the warm-up of one replica.
type warmUp struct {
	// announcedUntil is when the warm-up ends according to the replica's entry, zero if the
	// entry has no warm-up time.
	announcedUntil time.Time
	// appeared is when the replica was first listed without a warm-up time in its entry,
	// zero if the entry had one.
	appeared time.Time
}

// warmUps holds the replicas that may be warming up, by id. It does no I/O and reads no
// clock. Times are of the node's boot-time clock.
type warmUps map[string]warmUp

// observe records the changes of the touched replicas. Replicas of the first listing were
// there before, so those without a warm-up time are warm. A replica that is added later has
// started or was away, and is not assumed to be warm.
func (w warmUps) observe(now time.Time, current, next *View, touched map[string]bool) {
	for id := range touched {
		before, replica := current.Replicas[id], next.Replicas[id]
		switch {
		case before == replica:
		case replica == nil:
			delete(w, id)
		case before == nil && replica.WarmUpRemaining == 0 && current.ReplicasKnown:
			w[id] = warmUp{appeared: now}
		case before == nil || before.WarmUpRemaining != replica.WarmUpRemaining:
			w.recordEntry(now, id, replica.WarmUpRemaining)
		}
	}
}

// recordEntry records the remaining warm-up time in a replica's entry. It is counted from
// now, which is after the entry was written. Warm replicas of the first listing are not
// stored, to keep the map small.
func (w warmUps) recordEntry(now time.Time, id string, remaining time.Duration) {
	known := w[id]
	if remaining <= 0 && known.appeared.IsZero() {
		delete(w, id)
		return
	}
	known.announcedUntil = now.Add(remaining)
	w[id] = known
}

// mayBeWarming returns the replicas of a view that may be warming up: those in w, or all
// replicas while the end of an evacuation is remembered.
func (w warmUps) mayBeWarming(view *View) []*Replica {
	var replicas []*Replica
	if len(view.EvacuationEnded) > 0 {
		for _, replica := range view.Replicas {
			replicas = append(replicas, replica)
		}
		return replicas
	}
	for id := range w {
		if replica := view.Replicas[id]; replica != nil {
			replicas = append(replicas, replica)
		}
	}
	return replicas
}

// until returns when the warm-up of a replica ends.
func (w warmUps) until(replica *Replica, evacuationEnded map[string]time.Time, warmUpTime time.Duration) time.Time {
	return warmUntil(w[replica.ID], evacuationEnded[replica.Zone], warmUpTime)
}
