package ownership

import "time"

const (
	// OwnerTimeout is how long after the owner's last heartbeat the first watcher takes a
	// job over.
	OwnerTimeout = 1400 * time.Millisecond
	// RankDelay is added for each node that precedes in rank, so that usually only one node
	// attempts a takeover at a time.
	RankDelay = 350 * time.Millisecond
	// UnwatchedDelay is how long nodes that are not watchers wait after the owner was last
	// known to run a job. They receive no heartbeats. It must be well below the time that
	// trainers wait for a step.
	UnwatchedDelay = 6 * time.Second
)

// OwnerCondition is the state of a job's owner apart from its heartbeats.
type OwnerCondition int

// The conditions of an owner.
const (
	// OwnerRunning is the default.
	OwnerRunning OwnerCondition = iota
	// OwnerLeaving means that the owner is shutting down and hands over its jobs.
	OwnerLeaving
	// OwnerRestarted means that the owner's node has a new process, which may take the job
	// over first.
	OwnerRestarted
	// OwnerPreviousProcess means that the owner is an earlier process of this node.
	OwnerPreviousProcess
)

// RemoteJob is this node's information about a batch job that it does not run.
type RemoteJob struct {
	// Ended is set if the job is known to have ended.
	Ended bool
	// TakingOver is set while this node takes the job over.
	TakingOver bool
	// RetryAt is when a failed takeover may be retried, zero for immediately.
	RetryAt time.Time
	// LastHeartbeat is when the owner was last known to run the job.
	LastHeartbeat time.Time
	Owner         OwnerCondition
	// Rank returns this node's rank for the job. It may be expensive, so it is called only
	// if Ended, TakingOver and RetryAt do not decide.
	Rank func() int
}

// Decision is the result of Decide.
type Decision struct {
	TakeOver bool
	// ProbeOwner is set if the owner must be probed before the takeover, since this node
	// does not receive its heartbeats.
	ProbeOwner bool
	Reason     Reason
}

// Decide decides whether this node takes a job over now.
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

// Delay returns how long the node with the given rank waits after the owner's last heartbeat
// before it takes a job over.
func Delay(owner OwnerCondition, rank int) time.Duration {
	if owner == OwnerPreviousProcess {
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
