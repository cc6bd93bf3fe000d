package wire

// StoreVerb is what a StoreCall asks of the metadata store.
type StoreVerb uint8

// The verbs.
const (
	StoreList StoreVerb = iota
	StoreGet
	StoreCreate
	StoreReplace
	StoreReplaceStatus
)

// StoreCall asks a node to call the metadata store for the sender.
type StoreCall struct {
	Verb uint8
	Kind string
	// Name is that of the object, or the one after which a listing goes on.
	Name string
	// Revision is the condition of a write, 0 for none.
	Revision   uint64
	Content    []byte
	MayBeStale bool
}

// StoreOutcome is what became of a StoreCall.
type StoreOutcome uint8

// The outcomes.
const (
	// StoreDone calls were answered.
	StoreDone StoreOutcome = iota
	StoreNotFound
	// StoreConflict means that a condition did not hold; nothing was done.
	StoreConflict
	// StoreRefused calls did nothing.
	StoreRefused
	// StoreUnanswered calls may have been done, or may be done later.
	StoreUnanswered
)

// StoreReply answers a StoreCall.
type StoreReply struct {
	Outcome uint8
	// Status is the HTTP status of a refusal, 0 for none.
	Status int32
	// More and At are those of a listing.
	More    bool
	At      uint64
	Objects []ObjectChange
}
