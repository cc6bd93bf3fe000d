package stream

import (
	"fmt"

	"github.com/cespare/xxhash/v2"

	"github.com/pathtally/pathtally/internal/standalone/engine"
)

// Segment is a range of consecutive tokens produced by one weight version.
type Segment struct {
	First   int   `json:"first"`
	Count   int   `json:"count"`
	Version int64 `json:"version"`
}

// ChunkError reports a chunk or an end that is inconsistent with the stream.
type ChunkError struct {
	Reason   string
	Expected int
	Found    int
}

// Error returns the reason with the expected and the found number.
func (e *ChunkError) Error() string {
	return fmt.Sprintf("%s: expected %d, found %d", e.Reason, e.Expected, e.Found)
}

// Reasons of a ChunkError.
const (
	ReasonGap         = "chunk does not follow the last one"
	ReasonUnversioned = "chunk names no weight version"
	ReasonEmpty       = "chunk has no tokens"
	ReasonCount       = "end names another token count"
	ReasonDigest      = "end names another digest"
)

// Assembler assembles a response from chunks. It is not safe for concurrent use.
type Assembler struct {
	text     []byte
	tokens   int
	segments []Segment
}

// Add appends the next chunk. A chunk that is refused changes nothing.
func (a *Assembler) Add(chunk engine.Chunk) error {
	switch {
	case chunk.Version <= 0:
		return &ChunkError{Reason: ReasonUnversioned, Expected: 1, Found: int(chunk.Version)}
	case chunk.Count <= 0:
		return &ChunkError{Reason: ReasonEmpty, Expected: 1, Found: chunk.Count}
	case chunk.First != a.tokens:
		return &ChunkError{Reason: ReasonGap, Expected: a.tokens, Found: chunk.First}
	}
	a.text = append(a.text, chunk.Text...)
	a.tokens += chunk.Count
	last := len(a.segments) - 1
	if last >= 0 && a.segments[last].Version == chunk.Version {
		a.segments[last].Count += chunk.Count
		return nil
	}
	a.segments = append(a.segments, Segment{First: chunk.First, Count: chunk.Count, Version: chunk.Version})
	return nil
}

// Finish checks the token count and digest of the end against the chunks.
func (a *Assembler) Finish(end engine.End) error {
	if end.Tokens != a.tokens {
		return &ChunkError{Reason: ReasonCount, Expected: a.tokens, Found: end.Tokens}
	}
	if end.Digest != a.Digest() {
		return &ChunkError{Reason: ReasonDigest, Expected: a.tokens, Found: end.Tokens}
	}
	return nil
}

// Text returns the text so far.
func (a *Assembler) Text() string { return string(a.text) }

// Tokens returns the token count so far.
func (a *Assembler) Tokens() int { return a.tokens }

// Segments returns the weight versions of the tokens so far, in order.
func (a *Assembler) Segments() []Segment { return a.segments }

// Digest returns the hash of the text so far.
func (a *Assembler) Digest() uint64 { return xxhash.Sum64(a.text) }

// LowestVersion returns the lowest version of all segments, or 0 if there are
// none.
func LowestVersion(segments []Segment) int64 {
	var oldest int64
	for _, segment := range segments {
		if oldest == 0 || segment.Version < oldest {
			oldest = segment.Version
		}
	}
	return oldest
}
