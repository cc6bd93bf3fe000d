package directory

import "time"

// warmUp is what this node has seen of one replica that warms up, or did.
type warmUp struct {
	// toldUntil is when it is warm as its entry tells, zero if that tells nothing.
	toldUntil time.Time
	// appeared is when it came into the listing without a word of it, zero if it did
	// not.
	appeared time.Time
}

// warmUps are the replicas that warm up or may, by id. They do no input or output and
// read no clock. Instants are those of the node's boot-time clock.
type warmUps map[string]warmUp

// observe takes what is new of the replicas that a change touched. The first listing of a
// node tells of replicas that have been there: those that say nothing are warm. One that
// comes into a later listing has started, or has been away, and is not known to be warm.
func (w warmUps) observe(now time.Time, standing, next *View, touched map[string]bool) {
	for id := range touched {
		before, replica := standing.Replicas[id], next.Replicas[id]
		switch {
		case before == replica:
		case replica == nil:
			delete(w, id)
		case before == nil && replica.Warming == 0 && standing.ReplicasKnown:
			w[id] = warmUp{appeared: now}
		case before == nil || before.Warming != replica.Warming:
			w.tell(now, id, replica.Warming)
		}
	}
}

// tell takes a new word of a replica's entry. One that says that it is warm, and came with
// the first listing, is not kept: nearly all replicas are.
func (w warmUps) tell(now time.Time, id string, left time.Duration) {
	told := w[id].told(now, left)
	if left <= 0 && told.appeared.IsZero() {
		delete(w, id)
		return
	}
	w[id] = told
}

// mayWarm lists the replicas of a view that may warm up: those of which something is
// known, and all while an evacuation has ended of late.
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

// told takes a new word of a replica's entry. It is counted from when it was seen,
// which is later than when it was written.
func (w warmUp) told(now time.Time, left time.Duration) warmUp {
	return warmUp{toldUntil: now.Add(left), appeared: w.appeared}
}

// until is when a replica is warm as far as is known: the latest of what its entry
// tells and of what its appearance and the end of its zone's evacuation let expect.
func (w warmUps) until(replica *Replica, evacuationEnded map[string]time.Time, span time.Duration) time.Time {
	known := w[replica.ID]
	until := known.toldUntil
	for _, begun := range []time.Time{known.appeared, evacuationEnded[replica.Zone]} {
		if expected := begun.Add(span); !begun.IsZero() && expected.After(until) {
			until = expected
		}
	}
	return until
}
