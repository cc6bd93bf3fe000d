package wire

// ClaimRequest asks a claim member to grant, look up, complete or withdraw.
type ClaimRequest struct {
	Epoch       uint64
	Key         string
	Attempt     string
	Fingerprint uint64
	Operation   uint8
	Outcome     uint8
	Answer      []byte
}

// ClaimReply is a member's answer to a ClaimRequest.
type ClaimReply struct {
	Status      uint8
	Attempt     string
	Fingerprint uint64
	Outcome     uint8
	Answer      []byte
	Epoch       uint64
}

// ClaimRecord is one key's claim as a member keeps it.
type ClaimRecord struct {
	Key         string
	Attempt     string
	Fingerprint uint64
	Outcome     uint8
	Answer      []byte
	Created     int64
	Withdrawn   []string
	// Rivals are further attempts that copies of the record hold; any of them
	// may have had a majority, so the key is free only without them.
	Rivals []string
}

// RegisterRecord is one register as a member keeps it.
type RegisterRecord struct {
	Register       string
	Promised       uint64
	AcceptedBallot uint64
	Value          []byte
	Created        int64
}

// ClaimSeal ends a member's service of views older than Epoch and asks for a
// page of what it holds.
type ClaimSeal struct {
	Epoch uint64
	After string
}

// ClaimSnapshot answers a ClaimSeal.
type ClaimSnapshot struct {
	Epoch     uint64
	Records   []ClaimRecord
	Registers []RegisterRecord
	More      bool
}

// RegisterPrepare is the first phase of writing a register.
type RegisterPrepare struct {
	Register string
	Ballot   uint64
	Epoch    uint64
}

// RegisterAccept is the second phase of writing a register.
type RegisterAccept struct {
	Register string
	Ballot   uint64
	Value    []byte
	Epoch    uint64
}

// RegisterReply answers both phases.
type RegisterReply struct {
	Granted        bool
	Promised       uint64
	AcceptedBallot uint64
	Value          []byte
}
