package wire

// ReplicaUse is how much of a replica a node uses for rollouts.
type ReplicaUse struct {
	Replica string
	Running uint32
	// IntervalUs is the time between events of a run there as the sender has
	// seen it lately, in microseconds, 0 if unknown.
	IntervalUs uint32
}

// ReplicaVersion is a weight version that a replica has or is brought to.
type ReplicaVersion struct {
	Replica string
	Model   string
	Version int64
	Loading bool
}

// PeerAddress is where a node listens for peers.
type PeerAddress struct {
	Node    string
	Address string
	Zone    string
	// Capacity is how many thousandths of a core the node has, 0 for unknown.
	Capacity uint32
	// Incarnation is that of the node's process, 0 for unknown.
	Incarnation uint64
}

// NodeBeat is the heartbeat of a node on a metadata store, and the greeting between two such
// nodes.
type NodeBeat struct {
	Node        string
	Address     string
	Zone        string
	Incarnation uint64
	Jobs        []string
	Uses        []ReplicaUse
	Versions    []ReplicaVersion
	Lease       uint64
	Peers       []PeerAddress
	Leaving     bool
	Ended       []string
	Tolerances  []ModelTolerance
	// LeaseHolder held the duty lease at revision LeaseSeen, the newest that the
	// sender has seen, and gave it up with it if LeaseReleased is set.
	LeaseHolder   string
	LeaseSeen     uint64
	LeaseReleased bool
	// Capacity is how many thousandths of a core the sender has, 0 for unknown.
	Capacity uint32
	// UsageDone is the number of the newest window up to which all usage has been
	// reported, as far as the sender knows; 0 for none.
	UsageDone int64
	// Lengths are those of items that batch jobs ended without and that may
	// come back in a later one.
	Lengths []ItemLength
	// Work tells of the batch jobs in Jobs how much there is to do.
	Work []JobWork
	// PeersKnown tells that the sender has read the list of nodes, of which Peers
	// holds those of the receiver's zone at least.
	PeersKnown bool
}

// JobWork is how much a batch job has to do.
type JobWork struct {
	Job   string
	Model string
	// ExpectedTokens is what all items of the job are expected to make, those
	// that are listed included.
	ExpectedTokens uint64
	// Tenant is whose job it is, empty where no tenants are declared.
	Tenant string
	// Epoch counts the job's owners, the sender included; 0 for unknown.
	Epoch uint32
	// Open is how many of the job's items have no result yet.
	Open uint32
	// Routes are those whose requests the job holds, its own first and then its
	// scorers'; empty for unknown.
	Routes []string
	// Entry is the region through which the job came, empty for unknown.
	Entry string
	// Items is how many items the job has, those that are listed included; 0 for
	// unknown.
	Items uint32
}

// ItemLength is how many events the text of an item of a batch job has: at
// least as many, or exactly where Whole is set.
type ItemLength struct {
	Item   string
	Events uint32
	Whole  bool
}

// ModelTolerance is how many versions behind the newest the weights may be by
// the batch jobs of a model.
type ModelTolerance struct {
	Model    string
	Versions int64
}
