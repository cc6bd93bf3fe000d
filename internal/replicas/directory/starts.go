package directory

import (
	"maps"
	"time"
)

// lateWordTime is for how long after a word of a later start one of an earlier start is
// taken for late: several heartbeats. After it what the store holds counts, so that a
// start time that is wrong keeps no replica out for good.
const lateWordTime = 10 * time.Second

// start is the newest start known of the replicas of one name.
type start struct {
	id   string
	born int64
	// heard is when a word of that start came last.
	heard time.Time
	// refused is a word of an earlier start that came since, nil for none.
	refused *Replica
}

// noteStart takes the word of a replica and tells whether it counts: not where it is of an
// earlier start than one that spoke a moment ago. An earlier start leaves the listing.
func (t *Table) noteStart(listing map[string]*Replica, replica *Replica) bool {
	name := replica.InstanceName()
	known := t.starts[name]
	if known != nil && replica.Born < known.born && t.clock.Since(known.heard) < lateWordTime {
		t.logger.Info("late word of an earlier start of a replica", "replica", known.id, "earlier", replica.ID, "state", replica.State)
		t.refuse(name, known, replica)
		return false
	}
	if known == nil {
		known = &start{}
		t.starts[name] = known
	} else if known.id != replica.ID {
		t.logger.Info("replica started again", "replica", replica.ID, "before", known.id)
		t.stopKeeping(known.id)
		delete(listing, known.id)
	}
	*known = start{id: replica.ID, born: replica.Born, heard: t.clock()}
	return true
}

// keepNewest puts the newest start of a name into a listing, if it is in use: the listing
// may be built anew.
func (t *Table) keepNewest(listing map[string]*Replica, name string) {
	id := t.startOf(name)
	if used := t.view.Load().Replicas[id]; used != nil {
		listing[id] = used
	}
}

// startOf is the newest incarnation known of a name, which it is itself where none is.
func (t *Table) startOf(name string) string {
	if known := t.starts[name]; known != nil {
		return known.id
	}
	return name
}

// refuse keeps a late word, which counts after all if nothing follows it.
func (t *Table) refuse(name string, known *start, late *Replica) {
	known.refused = late
	time.AfterFunc(lateWordTime, func() {
		t.mutex.Lock()
		stands := t.starts[name] == known && known.refused == late
		if stands {
			// Whatever its start time says: the store has had it for long.
			known.heard = time.Time{}
		}
		t.mutex.Unlock()
		if stands {
			t.ApplyReplicas([]ReplicaChange{{Name: name, Replica: late}}, 0)
		}
	})
}

// isSuperseded tells whether a later start of a replica's name has spoken.
func (t *Table) isSuperseded(replica *Replica) bool {
	known := t.starts[replica.InstanceName()]
	return known != nil && known.id != replica.ID
}

// startsLook is the time between looks for starts to forget: there may be thousands, and
// little is lost by keeping them.
const startsLook = time.Minute

// forgetStarts drops the starts of replicas that have left long ago.
func (t *Table) forgetStarts() {
	if t.clock.Since(t.startsLooked) < startsLook {
		return
	}
	t.startsLooked = t.clock()
	listed := t.view.Load().Replicas
	maps.DeleteFunc(t.starts, func(_ string, known *start) bool {
		return listed[known.id] == nil && t.clock.Since(known.heard) > drainMemory
	})
}
