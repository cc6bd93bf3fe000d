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
	// Direct means that only a node to which the store itself responds may reply that it
	// is current. Otherwise two nodes without access to the store could each regard the
	// other as current.
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
	// AfterOutage means that objects may have disappeared because of an outage of the store.
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

// ReaderState is the state of a polled node's copies of the metadata store.
type ReaderState uint8

const (
	// ReaderCurrent means that the copies are current: the store is available to the node or
	// to the node named by WatchNews.Through.
	ReaderCurrent ReaderState = iota
	// ReaderUnsure means that the copies may be outdated because the store is unavailable to
	// the node, or to those it follows.
	ReaderUnsure
	// ReaderLeaving means that the node is shutting down.
	ReaderLeaving
	// ReaderStarting means that the node has not read all objects yet.
	ReaderStarting
)

// WatchNews is the reply to a WatchPoll.
type WatchNews struct {
	// Standing is a ReaderState.
	Standing uint8
	// Kinds are the kinds with changes.
	Kinds []KindNews
	// Through is the address of the node to which the store is available and through which
	// the sender is current; empty if the store is available to the sender itself.
	Through string
	// AgeMs is the time since a reader last confirmed that the objects are current, in
	// milliseconds; 0 if the sender itself is a reader.
	AgeMs uint32
}
