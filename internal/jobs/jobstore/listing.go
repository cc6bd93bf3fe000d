package jobstore

// Listing is the combined content of the chunks of a job.
type Listing struct {
	Results []Result
	// Pieces are the parts of texts in the order in which they were written.
	Pieces []TextPiece
	// Chunks is the number of chunks of the job up to the last one read.
	Chunks int
	// Sealed is set if the last chunk is a seal.
	Sealed bool
}

// Add appends the content of the next chunk.
func (l *Listing) Add(next Chunk) {
	l.Results = append(l.Results, next.Results...)
	l.Pieces = append(l.Pieces, next.Texts...)
	l.Chunks++
	l.Sealed = next.Seal
}
