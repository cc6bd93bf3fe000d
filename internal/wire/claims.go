package wire

// ClaimRequest asks a quorum member to grant, look up, complete or withdraw a claim.
type ClaimRequest struct {
	Epoch       uint64
	Key         string
	Attempt     string
	Fingerprint uint64
	Operation   uint8
	Outcome     uint8
	Answer      []byte
}

// ClaimReply is the reply to a ClaimRequest.
type ClaimReply struct {
	Status      uint8
	Attempt     string
	Fingerprint uint64
	Outcome     uint8
	Answer      []byte
	Epoch       uint64
}

// ClaimRecord is the claim on one key as a member stores it.
type ClaimRecord struct {
	Key         string
	Attempt     string
	Fingerprint uint64
	Outcome     uint8
	Answer      []byte
	Created     int64
	Withdrawn   []string
	// Rivals are other attempts that copies of the record hold. Any of them may have
	// reached a majority, so the key is free only if there are none.
	Rivals []string
}

// RegisterRecord is one register as a member stores it.
type RegisterRecord struct {
	Register       string
	Promised       uint64
	AcceptedBallot uint64
	Value          []byte
	Created        int64
}

// ClaimSeal makes a member stop serving views older than Epoch and asks for a page of its
// records.
type ClaimSeal struct {
	Epoch uint64
	After string
}

// ClaimSnapshot is the reply to a ClaimSeal.
type ClaimSnapshot struct {
	Epoch     uint64
	Records   []ClaimRecord
	Registers []RegisterRecord
	More      bool
}

// RegisterPrepare is the first phase of a register write.
type RegisterPrepare struct {
	Register string
	Ballot   uint64
	Epoch    uint64
}

// RegisterAccept is the second phase of a register write.
type RegisterAccept struct {
	Register string
	Ballot   uint64
	Value    []byte
	Epoch    uint64
}

// RegisterReply is the reply to RegisterPrepare and RegisterAccept.
type RegisterReply struct {
	Granted        bool
	Promised       uint64
	AcceptedBallot uint64
	Value          []byte
}
