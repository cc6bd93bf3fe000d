package intake

// Limits are the limits of one Listener.
type Limits struct {
	// Connections is the maximum number of open connections.
	Connections int
	// HeadMemoryBytes limits the memory of the heads of all requests in progress; 0 means no limit.
	HeadMemoryBytes int64
	// MaxHeadBytes returns the maximum size of the head of one request; 0 means no limit. May be
	// nil.
	MaxHeadBytes func() int64
}

const (
	// readBufferBytes is the size of the buffer through which net/http reads a connection. It may
	// hold this much of the body when the head is complete.
	readBufferBytes = 4 << 10
	// The memory of a parsed head, and of the copies of it that are made for the replica, is
	// estimated as headByteMemory for each byte and headLineMemory for each line.
	headByteMemory = 2
	headLineMemory = 512
)

// headMemory estimates the memory that a part of a head takes.
func headMemory(bytes, lines int) int64 { return int64(bytes*headByteMemory + lines*headLineMemory) }

// maxHeadBytes returns how much may be read before the head of a request is complete; 0 means no
// limit.
func (l *Limits) maxHeadBytes() int64 {
	if l.MaxHeadBytes == nil {
		return 0
	}
	if limit := l.MaxHeadBytes(); limit > 0 {
		return limit + readBufferBytes
	}
	return 0
}
