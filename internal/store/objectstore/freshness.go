package objectstore

// Freshness is how current a read has to be.
type Freshness bool

const (
	// Linearizable reads see every write acknowledged before them.
	Linearizable Freshness = false
	// MayBeStale reads may be seconds old and cost the store far less.
	MayBeStale Freshness = true
)
