package wire

// DocumentVersion is the name and version of a document that nodes distribute.
type DocumentVersion struct {
	Name    string
	Version uint64
}

// DocumentPull asks for the changes of a document since version Have; 0 for the whole document.
type DocumentPull struct {
	Name string
	Have uint64
}

// Entry is one key of a document with its data.
type Entry struct {
	Key  string
	Data []byte
}

// DocumentReply is the reply to a DocumentPull: the changes since version Base, or the whole
// document if Base is 0. Digest is a hash over the whole document at Version.
type DocumentReply struct {
	Name    string
	Version uint64
	Base    uint64
	Upserts []Entry
	Removed []string
	Digest  uint64
}
