package wire

import (
	"cmp"

	"github.com/pathtally/pathtally/internal/wire/schema"
)

// Message is any payload of a Frame.
type Message interface {
	// attach writes the message into a frame.
	attach(root schema.Frame) error
}

// Hello opens a connection.
type Hello struct {
	Protocol    uint16
	Node        string
	Address     string
	Incarnation uint64
}

// Failure is the typed refusal of a request.
type Failure struct {
	Code   uint16
	Detail string
}

// Done is an empty success.
type Done struct{}

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

// DocumentVersion names a relayed document and its version.
type DocumentVersion struct {
	Name    string
	Version uint64
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

// DocumentPull asks for what changed in a document since a version.
type DocumentPull struct {
	Name string
	Have uint64
}

// Entry is one keyed part of a document.
type Entry struct {
	Key  string
	Data []byte
}

// DocumentReply carries a document or the changes since Base.
type DocumentReply struct {
	Name    string
	Version uint64
	Base    uint64
	Upserts []Entry
	Removed []string
	Digest  uint64
}

// EngineLoad is one engine's state as a node measured it.
type EngineLoad struct {
	Engine  string
	Running uint32
	Waiting uint32
	Version int64
	Staged  int64
	Flags   uint8
}

// LoadReport is a batch of engine loads.
type LoadReport struct{ Loads []EngineLoad }

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

// SamplePut stores one finished sample.
type SamplePut struct {
	Trainer string
	Step    uint64
	Slot    uint32
	Digest  uint64
	Data    []byte
	Token   uint64
}

// SampleList asks for all samples of a step that a store holds.
type SampleList struct {
	Trainer string
	Step    uint64
}

// SampleReference names one stored sample of a step.
type SampleReference struct {
	Slot   uint32
	Digest uint64
}

// Compare orders references by slot, then by digest.
func (r SampleReference) Compare(other SampleReference) int {
	return cmp.Or(cmp.Compare(r.Slot, other.Slot), cmp.Compare(r.Digest, other.Digest))
}

// SampleGet asks for some samples of a step.
type SampleGet struct {
	Trainer    string
	Step       uint64
	References []SampleReference
}

// Sample is one stored sample; Data is empty in answers to SampleList.
type Sample struct {
	Slot   uint32
	Digest uint64
	Data   []byte
}

// Samples answers SampleList and SampleGet.
type Samples struct{ Samples []Sample }

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

// NodeBeat is the heartbeat of a node that keeps its lasting state in a
// metadata store, and the greeting between two such nodes.
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

// JobFind asks one of the nodes that are told of a batch job who runs it.
type JobFind struct {
	Job string
}

// JobFound answers a JobFind.
type JobFound struct {
	Known bool
	// Owner is the node that runs the job, and the process there.
	Owner PeerAddress
	// Epoch counts the job's owners; 0 for unknown.
	Epoch uint32
	Ended bool
	// Tenant is whose job it is, if TenantKnown.
	Tenant      string
	TenantKnown bool
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

// JobRead asks the node that runs a batch job for results.
type JobRead struct {
	Job    string
	After  uint32
	WaitMs uint32
}

// JobPage answers a JobRead.
type JobPage struct {
	Known   bool
	Total   uint32
	Results []byte
}

// JobItem asks the node that runs a batch job for an item's body.
type JobItem struct {
	Job  string
	Item string
}

// JobItemBody answers a JobItem.
type JobItemBody struct {
	Known bool
	Found bool
	Body  []byte
}

// JobEnd tells the node that runs a batch job that its caller has ended it.
type JobEnd struct{ Job string }

// JobOffer asks a node whether it would run a batch job. Done is the answer of
// one that would.
type JobOffer struct{ Job string }

// JobSubmit has a node accept a batch job and run it.
type JobSubmit struct {
	Job   string
	Route string
	Host  string
	// Payload is the submission as its caller sent it.
	Payload []byte
	// Tenant is whose job it is, empty where no tenants are declared.
	Tenant string
	// Entry is the region of the node that the caller connected to.
	Entry string
}

// JobSubmitted answers a JobSubmit.
type JobSubmitted struct {
	// Outcome is OutcomeDone for an accepted job, OutcomeNotRun for one of which
	// nothing will run, else OutcomeUnknown.
	Outcome uint8
	Detail  string
}
