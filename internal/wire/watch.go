package wire

// KindRevision is the revision of a node's copies of one kind.
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
	// Relay is set if the receiver may follow another node itself, as the sender ranks
	// it, and so need not read the store.
	Relay bool
	// Compressed is set if the sender can read compressed listings.
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

// KindNews holds the changes of one kind since a revision, or all its objects if Whole is
// set.
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

// ReaderState is what a polled node reports of its own copies of the metadata store.
type ReaderState uint8

// The states of a polled node.
const (
	// ReaderCurrent means that the store answers the node.
	ReaderCurrent ReaderState = iota
	// ReaderUnsure means that the store does not answer the node.
	ReaderUnsure
	// ReaderLeaving means that the node stops soon.
	ReaderLeaving
	// ReaderStarting means that the node has begun to read and has not read
	// everything yet.
	ReaderStarting
)

// WatchNews answers a WatchPoll.
type WatchNews struct {
	// Standing is a ReaderState.
	Standing uint8
	Kinds    []KindNews
	// Through is the address of the node through which the sender is current,
	// empty where the store answers the sender itself.
	Through string
	// AgeMs is how old the copies may be, in milliseconds: the time since a node
	// that reads the store said that they are current. 0 if the sender is one.
	AgeMs uint32
}
