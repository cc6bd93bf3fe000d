package engine

import "time"

// Request is one dispatch to an engine.
type Request struct {
	// ID names the dispatch, for cancel and export.
	ID     string
	Model  string
	Prompt string
	// Resume is the text produced so far, and ResumeTokens its length, when
	// the engine shall go on where another one stopped.
	Resume       string
	ResumeTokens int
	MaxTokens    int
	// Seed makes a sampled length repeatable.
	Seed     uint64
	Priority int
	// Deadline is when the caller gives up; an engine admits nothing later.
	Deadline time.Time
	// ChunkTokens is how many tokens the engine may report together.
	ChunkTokens int
	// KVSource is the engine address that holds the exported KV cache of a
	// moved stream, and KVHandle its name there.
	KVSource string
	KVHandle string
}

// Chunk is a run of tokens of a stream.
type Chunk struct {
	// First is the index of the first token.
	First int
	Count int
	Text  string
	// Version is the weight version that produced the tokens.
	Version int64
}

// End closes a stream that is whole.
type End struct {
	// Tokens is the total count, and Digest the hash of the whole text.
	Tokens int
	Digest uint64
	// Reason is "stop" or "length".
	Reason string
}

// Moved closes a stream that another engine shall go on with.
type Moved struct {
	KVSource string
	KVHandle string
}

// Event is what a stream delivers: a Chunk, an End, a Moved or an *Error.
type Event any
