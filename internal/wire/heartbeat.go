package wire

// ReplicaUse is a node's slot use at one replica.
type ReplicaUse struct {
	Replica string
	// Running is the number of items that the sender runs at the replica.
	Running uint32
	// IntervalUs is the recent time between events of a run at the replica, in
	// microseconds; 0 if unknown.
	IntervalUs uint32
	// UsualIntervalUs is the time between events over a longer period, in microseconds, which
	// excludes short disturbances; 0 if unknown.
	UsualIntervalUs uint32
	// ExpectedEvents is the number of events that the texts of these items are expected to
	// have in all, which determines how much of the replica's memory they will use.
	ExpectedEvents uint32
}

// ReplicaVersion is the weight version that a replica has or, if Loading is set, is loading.
type ReplicaVersion struct {
	Replica string
	Model   string
	Version int64
	Loading bool
}

// PeerAddress is the address at which a node accepts connections from peers.
type PeerAddress struct {
	Node    string
	Address string
	Zone    string
	// Capacity is the node's CPU capacity in millicores; 0 if unknown.
	Capacity uint32
	// Incarnation identifies the node's process; 0 if unknown.
	Incarnation uint64
}

// NodeBeat is the heartbeat of a node on a metadata store. Two such nodes also exchange it
// when they connect.
type NodeBeat struct {
	Node        string
	Address     string
	Zone        string
	Incarnation uint64
	// Jobs are the open batch jobs that the sender owns.
	Jobs     []string
	Uses     []ReplicaUse
	Versions []ReplicaVersion
	// Lease is the revision of the duty lease if the sender holds it, else 0.
	Lease uint64
	Peers []PeerAddress
	// Leaving is set if the sender is about to stop and hands over its jobs.
	Leaving bool
	// Ended are batch jobs that callers have ended.
	Ended      []string
	Tolerances []ModelTolerance
	// LeaseHolder is the holder of the duty lease at revision LeaseSeen, the newest
	// revision known to the sender. If LeaseReleased is set, the holder released the
	// lease with that revision.
	LeaseHolder   string
	LeaseSeen     uint64
	LeaseReleased bool
	// Capacity is the sender's CPU capacity in millicores; 0 if unknown.
	Capacity uint32
	// UsageDone is the number of the newest window up to which, as far as the sender
	// knows, all usage has been reported; 0 for none.
	UsageDone int64
	// Lengths are the lengths of items without a complete group when their batch job
	// ended. A later job may contain them again.
	Lengths []ItemLength
	// Work is the amount of work of each batch job in Jobs.
	Work []JobWork
	// PeersKnown means that the sender has read the list of nodes, and that Peers
	// contains at least those in the receiver's zone.
	PeersKnown bool
}

// JobWork describes the amount of work of a batch job.
type JobWork struct {
	Job   string
	Model string
	// ExpectedTokens is the number of tokens that all items of the job, including
	// those with a listed result, are expected to generate.
	ExpectedTokens uint64
	// Tenant is the tenant of the job; empty if no tenants are declared.
	Tenant string
	// Epoch is the number of owners that the job has had, including the sender; 0 if
	// unknown.
	Epoch uint32
	// Open is the number of items that have no result yet.
	Open uint32
	// Routes are the routes of the job's requests: its own first, then those of its
	// scorers. Empty if unknown.
	Routes []string
	// Entry is the region in which the job was submitted; empty if unknown.
	Entry string
	// Items is the number of items of the job, including those with a listed result;
	// 0 if unknown.
	Items uint32
	// Step is the number of the trainer's step.
	Step int64
	// LeftMs is the time until the job is due, in milliseconds; negative once it is late, 0 if
	// it has no deadline.
	LeftMs int64
	// LagMs is how far the job's trainer is behind its period, in milliseconds.
	LagMs uint32
	// Waiting is the number of items that wait for a replica.
	Waiting uint32
	// Critical is set if it depends on the speed of the replicas that run the items whether the
	// job is in time.
	Critical bool
}

// ItemLength is the number of events in the text of a batch job's item: exact if Whole is
// set, otherwise a lower bound.
type ItemLength struct {
	Item   string
	Events uint32
	Whole  bool
}

// ModelTolerance is how many versions behind the newest the weights of a model may be for
// its batch jobs.
type ModelTolerance struct {
	Model    string
	Versions int64
}
