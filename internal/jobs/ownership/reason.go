package ownership

// Reason is the reason for a decision about the ownership of a job.
type Reason string

// The reasons, in the order in which they are checked.
const (
	ReasonEnded      Reason = "the job has ended"
	ReasonTakingOver Reason = "this node is already taking the job over"
	ReasonBackoff    Reason = "the last attempt failed, waiting for the retry time"
	ReasonOutside    Reason = "this node is outside the job's allowed regions"
	ReasonDelay      Reason = "waiting for the takeover delay"
	ReasonSilent     Reason = "no heartbeat from the owner"

	ReasonOtherOwner Reason = "another process owns the job"
	ReasonOtherEpoch Reason = "the epoch has changed since the record was read"
	ReasonOwned      Reason = "the record is as expected"
)
