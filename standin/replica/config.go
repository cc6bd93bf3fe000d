package replica

import (
	"time"
)

// Config describes a replica.
type Config struct {
	ID string
	// Slots is how many requests run at once; more are refused.
	Slots int
	// Model makes it a model engine.
	Model string
	// EventInterval is the time between the events of a stream.
	EventInterval time.Duration
	// LoadTime is how long a change of weights takes.
	LoadTime time.Duration
	// Work is how long a plain request takes.
	Work time.Duration
	// CrashOn ends the replica once it has run a request whose body contains this text
	// for CrashAfter; empty for none.
	CrashOn    string
	CrashAfter time.Duration
	// Born is when the replica started, in milliseconds since the start of 1970; 0 for
	// unknown.
	Born int64
	// OnCrash is called before such a crash; nil for none.
	OnCrash func()
}

// Faults are the misbehaviours of a replica.
type Faults struct {
	// CutEvery ends each such run in the middle of an event, 0 for none.
	CutEvery int
	// SurplusEvery sends a second answer after each such one, 0 for none.
	SurplusEvery int
	// WrongIDEvery answers each such request under another's id, 0 for none.
	WrongIDEvery int
}
