package wire

// Member is what is known of one node.
type Member struct {
	ID          string `capnp:"id"`
	Address     string
	HTTP        string `capnp:"http"`
	Zone        string
	Region      string
	Incarnation uint64
	Sequence    uint64
	State       uint8
	Storage     bool
	// Identity names the memory behind the member's quorum seat: it lasts as
	// long as the data folder, or else as long as the process.
	Identity uint64
}

// LeaseNote announces who holds a lease.
type LeaseNote struct {
	Name   string
	Holder string
	Token  uint64
}

// Records are membership facts on their way.
type Records struct {
	Members []Member
	Leases  []LeaseNote
}

// Ping probes a member and carries records.
type Ping struct {
	Target    string
	Summary   uint64
	Records   Records
	Documents []DocumentVersion
}

// Ack answers a Ping.
type Ack struct {
	Summary   uint64
	Records   Records
	Documents []DocumentVersion
}

// RecordVersion is the version of one record, for anti-entropy.
type RecordVersion struct {
	Key         string
	Incarnation uint64
	Sequence    uint64
}

// Sync lists all record versions that the sender holds; the answer is a
// Records with everything newer.
type Sync struct{ Versions []RecordVersion }
