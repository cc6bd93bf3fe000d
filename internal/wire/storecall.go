package wire

// StoreVerb is the operation of a StoreCall.
type StoreVerb uint8

const (
	StoreList StoreVerb = iota
	StoreGet
	StoreCreate
	StoreReplace
	StoreReplaceStatus
	// StoreDelete is refused by nodes of earlier releases.
	StoreDelete
)

// StoreCall asks a node to make a call to the metadata store on behalf of the sender.
type StoreCall struct {
	Verb uint8
	Kind string
	// Name is the name of the object or, for StoreList, that after which the page starts.
	Name string
	// Revision is the revision that a write requires the object to have; 0 for an
	// unconditional write.
	Revision uint64
	// Content is the spec or the status to write.
	Content []byte
	// MayBeStale permits a read that is not linearizable.
	MayBeStale bool
}

// StoreOutcome is the outcome of a StoreCall.
type StoreOutcome uint8

const (
	// StoreDone means that the call succeeded.
	StoreDone StoreOutcome = iota
	StoreNotFound
	// StoreConflict means that the condition of a write did not hold. The write has no
	// effect.
	StoreConflict
	// StoreRefused means that the store refused the call. It has no effect.
	StoreRefused
	// StoreUnanswered means that no response arrived. The call may have taken effect or
	// may still do so.
	StoreUnanswered
)

// StoreReply is the reply to a StoreCall. Outcome is a StoreOutcome.
type StoreReply struct {
	Outcome uint8
	// Status is the HTTP status of a refused call; 0 for none.
	Status int32
	// More means that the listing has further pages. At is the revision of the listing.
	More    bool
	At      uint64
	Objects []ObjectChange
}
