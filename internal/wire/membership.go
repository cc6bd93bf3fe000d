package wire

// Member is the membership record of one node.
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
	// Identity identifies the storage of the member as a quorum member: that of its data
	// folder or, without one, the incarnation of its process.
	Identity uint64
}

// LeaseNote announces the holder of a lease and its fencing token.
type LeaseNote struct {
	Name   string
	Holder string
	Token  uint64
}

// Records are membership records that nodes exchange.
type Records struct {
	Members []Member
	Leases  []LeaseNote
}

// Ping probes a member, or asks it to probe Target, and carries records. Summary is a hash
// over all records of the sender.
type Ping struct {
	Target    string
	Summary   uint64
	Records   Records
	Documents []DocumentVersion
}

// Ack is the reply to a Ping.
type Ack struct {
	Summary   uint64
	Records   Records
	Documents []DocumentVersion
}

// RecordVersion is the version of one record, compared in anti-entropy.
type RecordVersion struct {
	Key         string
	Incarnation uint64
	Sequence    uint64
}

// Sync lists the versions of all records of the sender. The reply is a Records message with
// all that are newer at the receiver.
type Sync struct{ Versions []RecordVersion }
