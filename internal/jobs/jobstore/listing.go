package jobstore

// Listing is what the chunks of a job hold.
type Listing struct {
	Results []Result
	// Pieces are the parts of texts in the order written.
	Pieces []TextPiece
	// Chunks is the number of chunks up to the last one read, from the job's first.
	Chunks int
	// Sealed tells that the last chunk is a seal.
	Sealed bool
}

// Add adds the next chunk.
func (l *Listing) Add(next Chunk) {
	l.Results = append(l.Results, next.Results...)
	l.Pieces = append(l.Pieces, next.Texts...)
	l.Chunks++
	l.Sealed = next.Seal
}
