package replica

import (
	"time"
)

// Config configures a replica.
type Config struct {
	ID string
	// Slots is the maximum number of concurrent requests. Further requests are refused.
	Slots int
	// Model is the model that the replica serves; empty for a replica that is not a model
	// engine.
	Model string
	// EventInterval is the time between the events of a stream.
	EventInterval time.Duration
	// LoadTime is the time that loading a weight version takes.
	LoadTime time.Duration
	// ServiceTime is the time that a request without a stream takes.
	ServiceTime time.Duration
	// CrashOn makes the replica crash when it has run a request whose body contains this
	// text for CrashAfter; empty for no crash.
	CrashOn    string
	CrashAfter time.Duration
	// StartedMs is the start time of the replica in Unix milliseconds; 0 if unknown.
	StartedMs int64
	// SlowdownPercent is the slowdown figure of the load header of each answer, 100 for usual;
	// 0 for no header.
	SlowdownPercent int
	// ResponseBytes is the minimum length of a response without a stream, which is padded.
	ResponseBytes int
	// OnCrash is called before a crash; may be nil.
	OnCrash func()
}

// Faults are the injected faults of a replica. A fault with the value n affects every n-th
// request; 0 disables it.
type Faults struct {
	// TruncateEvery aborts the response in the middle of an event.
	TruncateEvery int
	// ExtraResponseEvery sends a second response after the first.
	ExtraResponseEvery int
	// RepeatRejectionEvery sends a rejection once more, in the place of the next response on its
	// connection. It counts rejections.
	RepeatRejectionEvery int
	// WrongIDEvery sends the response with the ID of another request.
	WrongIDEvery int
}
