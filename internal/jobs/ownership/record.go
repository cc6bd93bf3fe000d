package ownership

import "github.com/pathtally/pathtally/internal/jobs/jobstore"

// DecideReplace tells whether a node may make itself the owner in a job's record that it
// has just read. Former is the owner that it takes the job over from; outside tells that
// the node may not have the job's bodies.
func DecideReplace(stored jobstore.StoredJob, former jobstore.Owner, outside bool) (may bool, reason Reason) {
	switch {
	case stored.Ended:
		return false, ReasonEnded
	case stored.Record.Owner != former:
		return false, ReasonOtherOwner
	case outside:
		return false, ReasonOutside
	}
	return true, ReasonOwned
}

// DecideStart tells whether a process may start a job whose record it has read again
// after the job itself: the reading may take seconds, in which the job may have ended or
// become another node's.
func DecideStart(stored jobstore.StoredJob, self jobstore.Owner, epoch int) (may bool, reason Reason) {
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

// IsEarlierEpoch tells whether an epoch is known to be before another one. Epoch 0 is
// unknown. A former owner announces an earlier epoch until it has read the record again.
func IsEarlierEpoch(epoch, other int) bool { return epoch > 0 && epoch < other }
