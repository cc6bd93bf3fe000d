package wire

// KindRevision is the revision up to which a node has the objects of one kind.
type KindRevision struct {
	Kind     string
	Revision uint64
}

// WatchPoll asks a node for the changes of the metadata store since the given revisions.
type WatchPoll struct {
	Kinds []KindRevision
	// WaitMs is how long the receiver may delay its reply until there are changes.
	WaitMs uint32
	// Direct means that only a reader, a node that itself reads the store, may reply that
	// it is current.
	Direct bool
	// Relay means that the sender regards the receiver as a follower of another node, so
	// that the receiver need not read the store.
	Relay bool
	// Compressed means that the sender can read compressed listings.
	Compressed bool
}

// ObjectChange is one object that was created, changed or, if Gone is set, removed.
type ObjectChange struct {
	Name     string
	Gone     bool
	Deleting bool
	Revision uint64
	Spec     []byte
	Status   []byte
}

// KindNews holds the changes of one kind since the polled revision, or all its objects if
// Whole is set.
type KindNews struct {
	Kind     string
	Revision uint64
	Whole    bool
	// AfterOutage means that objects may have vanished because of an outage of the store.
	AfterOutage bool
	Changes     []ObjectChange
	// Compressed replaces Changes in large updates. It holds a compressed Listing
	// (package objectwire).
	Compressed []byte
}

// Listing is the content of a compressed listing (package objectwire).
type Listing struct {
	Objects []ObjectChange
}

// ReaderState is the state of a polled node's connection to the metadata store.
type ReaderState uint8

const (
	// ReaderCurrent means that the node receives responses from the store.
	ReaderCurrent ReaderState = iota
	// ReaderUnsure means that the node receives no responses from the store.
	ReaderUnsure
	// ReaderLeaving means that the node is shutting down.
	ReaderLeaving
	// ReaderStarting means that the node has not completed its first listing yet.
	ReaderStarting
)

// WatchNews is the reply to a WatchPoll.
type WatchNews struct {
	// Standing is a ReaderState.
	Standing uint8
	// Kinds are the kinds with changes.
	Kinds []KindNews
	// Through is the address of the reader that the sender follows, directly or through
	// others; empty if the sender itself is a reader.
	Through string
	// AgeMs is the time since a reader last confirmed that the objects are current, in
	// milliseconds; 0 if the sender itself is a reader.
	AgeMs uint32
}
