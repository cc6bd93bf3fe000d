package transport

import "sync/atomic"

// Counts holds the totals of one transport since it started.
type Counts struct {
	FramesSent atomic.Int64
	// FramesDropped counts frames that found a full queue or could not be encoded.
	FramesDropped atomic.Int64
	BytesSent     atomic.Int64
	BytesReceived atomic.Int64
}
