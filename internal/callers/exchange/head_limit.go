package exchange

import "io"

// maxHeadBytes limits the heads of the responses to one request, informational ones included. A
// replica sends some hundred bytes.
const maxHeadBytes = 64 << 10

// headLimiter reads from a connection and fails once more than maxHeadBytes were read since
// beginHead. Without it, a head without end would be read into memory until the request's deadline.
type headLimiter struct {
	source io.Reader
	// limited is set while a head is read, of which remaining bytes may still come.
	limited   bool
	remaining int
}

func (l *headLimiter) beginHead() { l.limited, l.remaining = true, maxHeadBytes }

func (l *headLimiter) endHead() { l.limited = false }

// Read implements io.Reader.
func (l *headLimiter) Read(buffer []byte) (int, error) {
	if !l.limited {
		return l.source.Read(buffer)
	}
	if l.remaining <= 0 {
		return 0, ErrHeadTooLarge
	}
	n, err := l.source.Read(buffer[:min(len(buffer), l.remaining)])
	l.remaining -= n
	return n, err
}
