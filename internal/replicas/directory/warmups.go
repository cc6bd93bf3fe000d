package directory

import "time"

// warmUp is what this node knows of the warming of one replica.
type warmUp struct {
	// announcedUntil is when it is warm by its entry, zero if that says nothing.
	announcedUntil time.Time
	// appeared is when it came into the listing without saying whether it is warm, zero
	// if it said so.
	appeared time.Time
}

// warmUps are the replicas that warm up or may, by id. They do no input or output and
// read no clock. Instants are those of the node's boot-time clock.
type warmUps map[string]warmUp

// observe records what is new of the replicas that a change touched. Replicas in the first
// listing of a node have been there: those that say nothing are warm. One that comes into
// a later listing has started, or has been away, and is not known to be warm.
func (w warmUps) observe(now time.Time, current, next *View, touched map[string]bool) {
	for id := range touched {
		before, replica := current.Replicas[id], next.Replicas[id]
		switch {
		case before == replica:
		case replica == nil:
			delete(w, id)
		case before == nil && replica.Warming == 0 && current.ReplicasKnown:
			w[id] = warmUp{appeared: now}
		case before == nil || before.Warming != replica.Warming:
			w.recordEntry(now, id, replica.Warming)
		}
	}
}

// recordEntry records how much longer a replica warms up by its entry, counted from now,
// which is later than when it was written. Warm replicas of the first listing are not
// kept: nearly all replicas are.
func (w warmUps) recordEntry(now time.Time, id string, left time.Duration) {
	known := w[id]
	if left <= 0 && known.appeared.IsZero() {
		delete(w, id)
		return
	}
	known.announcedUntil = now.Add(left)
	w[id] = known
}

// mayWarm lists the replicas of a view that may warm up: those of which something is
// known, and all while an ended evacuation is remembered.
func (w warmUps) mayWarm(view *View) []*Replica {
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

// until returns when a replica is warm.
func (w warmUps) until(replica *Replica, evacuationEnded map[string]time.Time, warmUpTime time.Duration) time.Time {
	return warmUntil(w[replica.ID], evacuationEnded[replica.Zone], warmUpTime)
}
