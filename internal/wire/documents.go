package wire

// DocumentVersion names a relayed document and its version.
type DocumentVersion struct {
	Name    string
	Version uint64
}

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
