package recordlog

// Log is durable storage in named segments of records.
type Log interface {
	// Append makes a record durable and then calls done on the goroutine of
	// the duty that owns the log.
	Append(segment string, record []byte, done func(error))
	// Remove deletes a segment.
	Remove(segment string)
	// Recover returns all whole records of all segments, in their order.
	Recover() ([]Record, error)
}

// Record is one record of a segment.
type Record struct {
	Segment string
	Data    []byte
}
