package wire

// KindRevision is up to which revision a node has the objects of one kind.
type KindRevision struct {
	Kind     string
	Revision uint64
}

// WatchPoll asks a node that reads the metadata store for what has changed.
type WatchPoll struct {
	Kinds  []KindRevision
	WaitMs uint32
	// Direct asks for a node that the store itself answers.
	Direct bool
	// Relay tells that the sender takes the receiver for one that follows another
	// node itself, so that it need not read the store.
	Relay bool
	// Compressed tells that the sender can read compressed listings.
	Compressed bool
}

// ObjectChange is one object that was made, changed or removed.
type ObjectChange struct {
	Name     string
	Gone     bool
	Deleting bool
	Revision uint64
	Spec     []byte
	Status   []byte
}

// KindNews are the changes of one kind, or all its objects.
type KindNews struct {
	Kind        string
	Revision    uint64
	Whole       bool
	AfterOutage bool
	Changes     []ObjectChange
	// Compressed holds the changes where they are many, in their place (package
	// objectwire).
	Compressed []byte
}

// Listing is all objects of a kind, as compressed listings hold it.
type Listing struct {
	Objects []ObjectChange
}

// Standing is what a node says of its own view of the metadata store.
type Standing uint8

// The standings of a node that is asked for news.
const (
	// StandingCurrent means that the store answers the node.
	StandingCurrent Standing = iota
	// StandingUnsure means that the store does not answer the node.
	StandingUnsure
	// StandingLeaving means that the node stops soon.
	StandingLeaving
	// StandingStarting means that the node has begun to read and has not read
	// everything yet.
	StandingStarting
)

// WatchNews answers a WatchPoll.
type WatchNews struct {
	Standing uint8
	Kinds    []KindNews
	// Through is the address of the node through which the sender is current,
	// empty where the store answers the sender itself.
	Through string
	// AgeMs is how old the copies may be, in milliseconds: the time since a node
	// that reads the store said that they are current. 0 if the sender is one.
	AgeMs uint32
}
