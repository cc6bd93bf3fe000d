package directory

import "time"

// This file decides which replicas are used: by their entries (disposeEntry,
// disposeMissing), by evacuations of their zones (IsEvacuated), and how much they get
// while they warm up (warmUntil).

// lateEntryPeriod is how long after an entry of a later start one of an earlier start
// counts as late: several heartbeats. After it what the store holds counts, so that a
// wrong start time keeps no replica out for good.
const lateEntryPeriod = 10 * time.Second

// disposition is what becomes of a replica after a change of its entry.
type disposition int

const (
	// dispositionUse: the replica may get requests.
	dispositionUse disposition = iota
	// dispositionLeave: it gets no more, also if its entry says otherwise later.
	dispositionLeave
	// dispositionLate: the entry is of an earlier start than the replica in use, which
	// stays.
	dispositionLate
	// dispositionKeep: its entry has vanished, and it is used on for a time.
	dispositionKeep
	// dispositionDrop: it is not used until its next entry.
	dispositionDrop
)

// entryFacts is what decides about a replica whose entry was read.
type entryFacts struct {
	state ReplicaState
	// hasLeft says that this start of the replica has said before that it leaves.
	hasLeft bool
	// isEarlierStart says that an entry of a later start has been read, and
	// sinceLaterStart how long ago the last one was.
	isEarlierStart  bool
	sinceLaterStart time.Duration
}

// disposeEntry decides about a replica whose entry was read.
func disposeEntry(known entryFacts) disposition {
	switch {
	case known.isEarlierStart && known.sinceLaterStart < lateEntryPeriod:
		return dispositionLate
	case known.hasLeft || known.state != ReplicaReady:
		return dispositionLeave
	}
	return dispositionUse
}

// missingFacts is what decides about a replica in use that has no entry any more.
type missingFacts struct {
	// hasLeft says that it has said that it leaves, isSuperseded that a later start of
	// the same name has written an entry.
	hasLeft      bool
	isSuperseded bool
	// isKept says that it is kept already since its entry vanished.
	isKept bool
	// keepFor is how long it may be kept: 0 unless the store was down.
	keepFor time.Duration
}

// disposeMissing decides about a replica in use that has no entry any more. The store
// drops entries of living replicas while it is down, so these may be kept for a while.
func disposeMissing(known missingFacts) disposition {
	switch {
	case known.hasLeft || known.isSuperseded:
		return dispositionDrop
	case known.isKept || known.keepFor > 0:
		return dispositionKeep
	}
	return dispositionDrop
}

// IsEvacuated reports whether nothing is to be sent to the replicas of a zone.
func (v *View) IsEvacuated(zone string) bool {
	_, evacuated := v.Evacuated[zone]
	return evacuated || v.EvacuationsAwaited
}

// warmUntil returns when a replica is warm as far as is known: the latest of what its
// entry says, and of the service's warm-up time after it appeared and after its zone's
// evacuation ended. Zero instants are ignored.
func warmUntil(known warmUp, evacuationEnded time.Time, warmUpTime time.Duration) time.Time {
	until := known.announcedUntil
	for _, begun := range []time.Time{known.appeared, evacuationEnded} {
		if expected := begun.Add(warmUpTime); !begun.IsZero() && expected.After(until) {
			until = expected
		}
	}
	return until
}
