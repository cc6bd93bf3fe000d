package directory

import "time"

// This file decides which replicas are used, based on their entries (disposeEntry,
// disposeMissing) and the evacuations of their zones (IsEvacuated), and until when they warm
// up (warmUntil).

// staleEntryPeriod is how long after the last entry of a later incarnation an entry of an
// earlier one counts as stale. It covers several heartbeats. Afterwards the entry in the store
// is accepted, so that a wrong start time does not exclude a replica forever.
const staleEntryPeriod = 10 * time.Second

// disposition is what happens to a replica after a change of its entry.
type disposition int

const (
	// dispositionUse means that the replica may get requests.
	dispositionUse disposition = iota
	// dispositionDrain means that this incarnation gets no more requests, whatever its later
	// entries say.
	dispositionDrain
	// dispositionStale means that the entry is stale: it is of an earlier incarnation than
	// the one in use, which remains in use.
	dispositionStale
	// dispositionKeep means that the entry is missing and the replica is kept for a
	// limited time.
	dispositionKeep
	// dispositionDrop means that the replica is not used until its next entry.
	dispositionDrop
)

// entryFacts are the inputs of disposeEntry.
type entryFacts struct {
	state ReplicaState
	// wasDraining is set if an earlier entry of this incarnation had a state other than
	// ready.
	wasDraining bool
	// isEarlierIncarnation is set if an entry of a later incarnation was read.
	isEarlierIncarnation bool
	// sinceLaterIncarnation is the time since the last entry of that later incarnation.
	sinceLaterIncarnation time.Duration
}

// disposeEntry decides what happens to a replica whose entry was read.
func disposeEntry(known entryFacts) disposition {
	switch {
	case known.isEarlierIncarnation && known.sinceLaterIncarnation < staleEntryPeriod:
		return dispositionStale
	case known.wasDraining || known.state != ReplicaReady:
		return dispositionDrain
	}
	return dispositionUse
}

// missingFacts are the inputs of disposeMissing.
type missingFacts struct {
	// isDraining is set if an entry of the replica had a state other than ready.
	isDraining bool
	// isSuperseded is set if another incarnation of the same name is the latest.
	isSuperseded bool
	// isKept is set if the replica is already kept without an entry.
	isKept bool
	// keepFor is how long the replica may be kept. It is 0 unless the store was down.
	keepFor time.Duration
}

// disposeMissing decides what happens to a replica in use whose entry is missing. Entries of
// live replicas expire while the store is down, so these may be kept for a limited time.
func disposeMissing(known missingFacts) disposition {
	switch {
	case known.isDraining || known.isSuperseded:
		return dispositionDrop
	case known.isKept || known.keepFor > 0:
		return dispositionKeep
	}
	return dispositionDrop
}

// IsEvacuated reports whether a zone is evacuated, so that its replicas get no requests. It
// returns true for every zone until the evacuations are known.
func (v *View) IsEvacuated(zone string) bool {
	_, evacuated := v.Evacuated[zone]
	return evacuated || v.EvacuationsUnknown
}

// warmUntil returns when a replica's warm-up ends: the latest of the time that its entry
// announced, and of the service's warm-up time after the replica appeared and after the
// evacuation of its zone ended. Zero times are ignored.
func warmUntil(known warmUp, evacuationEnded time.Time, warmUpTime time.Duration) time.Time {
	until := known.announcedUntil
	for _, start := range []time.Time{known.appeared, evacuationEnded} {
		if expected := start.Add(warmUpTime); !start.IsZero() && expected.After(until) {
			until = expected
		}
	}
	return until
}
