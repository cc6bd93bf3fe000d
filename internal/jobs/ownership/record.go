package ownership

import "github.com/pathtally/pathtally/internal/jobs/jobstore"

// DecideReplace reports whether a node may replace the owner in a job's record that it has
// just read. previous is the owner from which it takes the job over. outsideRegions is set
// if the node is outside the regions that may hold the job's bodies.
func DecideReplace(stored jobstore.StoredJob, previous jobstore.Owner, outsideRegions bool) (allowed bool, reason Reason) {
	switch {
	case stored.Ended:
		return false, ReasonEnded
	case stored.Record.Owner != previous:
		return false, ReasonOtherOwner
	case outsideRegions:
		return false, ReasonOutside
	}
	return true, ReasonOwned
}

// DecideStart reports whether a process may start a job. The record must be read after the
// payload and the results: reading these may take seconds, during which the job may end or
// another node may take it over.
func DecideStart(stored jobstore.StoredJob, self jobstore.Owner, epoch int) (allowed bool, reason Reason) {
	switch {
	case stored.Ended:
		return false, ReasonEnded
	case stored.Record.Owner != self:
		return false, ReasonOtherOwner
	case stored.Record.Epoch != epoch:
		return false, ReasonOtherEpoch
	}
	return true, ReasonOwned
}

// IsEarlierEpoch reports whether an epoch is known to be before another one. Epoch 0 is
// unknown. A former owner announces its earlier epoch until it reads the record again.
func IsEarlierEpoch(epoch, other int) bool { return epoch > 0 && epoch < other }
