package wire

// ProtocolVersion is sent in every Hello; a node refuses peers with a different version.
const ProtocolVersion = 1

// States of a Member. Among records of the same incarnation and sequence, the greater state
// wins.
const (
	MemberAlive uint8 = iota
	MemberSuspect
	MemberLeaving
	MemberDead
)

// Bits of EngineLoad.Flags.
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

// Outcomes of a request. The zero value means that the outcome is not known yet.
const (
	OutcomePending uint8 = iota
	OutcomeDone
	OutcomeNotRun
	OutcomeUnknown
)
