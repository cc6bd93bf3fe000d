package ownership

import "time"

const (
	// OwnerTimeout is how long after the last heartbeat of its owner the first watcher
	// takes a job over.
	OwnerTimeout = 1400 * time.Millisecond
	// RankDelay is added for each node that goes before in rank, so that one node tries
	// while it has not failed.
	RankDelay = 350 * time.Millisecond
	// UnwatchedDelay is how long the nodes that are no watchers wait after they learnt of
	// a job: they hear of its start and its end only. It is half of what trainers wait
	// for a step.
	UnwatchedDelay = 6 * time.Second
)

// OwnerCondition is what is known of a job's owner besides its heartbeats.
type OwnerCondition int

// The conditions of an owner.
const (
	// OwnerRunning: nothing else is known.
	OwnerRunning OwnerCondition = iota
	// OwnerLeaving: it gives its jobs away.
	OwnerLeaving
	// OwnerRestarted: its node has a new process, which takes the job up first.
	OwnerRestarted
	// OwnerFormerSelf: it was a former process of this node.
	OwnerFormerSelf
)

// RemoteJob is what a node knows of a batch job that it does not run.
type RemoteJob struct {
	// Ended tells that the job is known to have ended.
	Ended bool
	// TakingOver tells that this node is taking it over.
	TakingOver bool
	// RetryAt is when a failed takeover may be tried again, zero for at once.
	RetryAt time.Time
	// LastHeartbeat is when the owner was last known to run the job.
	LastHeartbeat time.Time
	Owner         OwnerCondition
	// Rank gives this node's rank for the job. It is asked for last, since it may have to
	// be worked out anew.
	Rank func() int
}

// Decision tells whether a node takes a job over now.
type Decision struct {
	TakeOver bool
	// ProbeOwner tells that the owner is to be asked first, since this node does not hear
	// its heartbeats.
	ProbeOwner bool
	Reason     Reason
}

// Decide tells whether a node takes a job over at an instant.
func Decide(job RemoteJob, now time.Time) Decision {
	switch {
	case job.Ended:
		return Decision{Reason: ReasonEnded}
	case job.TakingOver:
		return Decision{Reason: ReasonTakingOver}
	case now.Before(job.RetryAt):
		return Decision{Reason: ReasonBackoff}
	}
	rank := job.Rank()
	switch {
	case rank < 0:
		return Decision{Reason: ReasonOutside}
	case now.Sub(job.LastHeartbeat) <= Delay(job.Owner, rank):
		return Decision{Reason: ReasonDelay}
	}
	return Decision{TakeOver: true, ProbeOwner: rank >= Watchers, Reason: ReasonSilent}
}

// Delay returns how long a node of a rank waits after the owner's last heartbeat before
// it takes a job over.
func Delay(owner OwnerCondition, rank int) time.Duration {
	if owner == OwnerFormerSelf {
		return 0
	}
	if rank >= Watchers {
		return UnwatchedDelay + time.Duration(rank-Watchers)*RankDelay
	}
	delay := time.Duration(rank) * RankDelay
	switch owner {
	case OwnerLeaving:
		return delay
	case OwnerRestarted:
		return delay + RankDelay
	}
	return delay + OwnerTimeout
}
