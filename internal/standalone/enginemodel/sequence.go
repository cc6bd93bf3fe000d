package enginemodel

import "time"

// Sequence is one request in an engine.
type Sequence struct {
	ID string
	// PromptTokens and PrefixHash describe the prompt; prompts with the same
	// hash share their cached prefix.
	PromptTokens int
	PrefixHash   uint64
	// Produced is how many tokens exist already, after a resume or an import.
	Produced int
	// Target is how many tokens there will be in all.
	Target int
	// Priority orders the queue; greater is served first.
	Priority int
	// ChunkTokens is how many tokens are reported together.
	ChunkTokens int
	// Imported means that the KV cache came with the sequence.
	Imported bool

	arrived  time.Time
	reported int
	version  int64
}

// context is the number of tokens whose KV cache the sequence holds.
func (s *Sequence) context() int { return s.PromptTokens + s.Produced }

// Output is a run of tokens that a sequence produced under one version.
type Output struct {
	ID      string
	First   int
	Count   int
	Version int64
	// Ended is true when these are the last tokens.
	Ended bool
	// At is when the tokens were ready.
	At time.Time
}
