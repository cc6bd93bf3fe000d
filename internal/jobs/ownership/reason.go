package ownership

// Reason is the reason for a decision about the ownership of a job.
type Reason string

// The reasons, in the order in which they are checked.
const (
	ReasonEnded      Reason = "the job has ended"
	ReasonTakingOver Reason = "this node is taking it over already"
	ReasonBackoff    Reason = "an attempt has failed just now"
	ReasonOutside    Reason = "this node is outside the job's allowed regions"
	ReasonDelay      Reason = "the owner may be alive, or another node goes first"
	ReasonSilent     Reason = "the owner is silent"

	ReasonOtherOwner Reason = "another process owns it"
	ReasonOtherEpoch Reason = "its record has changed since it was read"
	ReasonOwned      Reason = "its record is as expected"
)
