package wire

// ProtocolVersion is the version in every Hello; nodes refuse another one.
const ProtocolVersion = 1

// MemberState orders what may be said of a member within one sequence.
const (
	MemberAlive uint8 = iota
	MemberSuspect
	MemberLeaving
	MemberDead
)

// Flags of an EngineLoad.
const (
	EngineHealthy  uint8 = 1 << 0
	EngineDraining uint8 = 1 << 1
)

// Operations of a ClaimRequest.
const (
	ClaimGrant uint8 = iota
	ClaimComplete
	ClaimWithdraw
)

// Statuses of a ClaimReply.
const (
	ClaimGranted uint8 = iota
	ClaimHeld
	ClaimWrongEpoch
	ClaimWithdrawn
)

// Outcomes of a request. The zero value means that none is known yet.
const (
	OutcomePending uint8 = iota
	OutcomeDone
	OutcomeNotRun
	OutcomeUnknown
)
