package transport

import (
	"net"
	"sync"
	"time"

	"github.com/pathtally/pathtally/internal/wire"
)

// replyWriter writes the replies on a peer's connection, and closes it if a write fails or
// times out. It is safe for concurrent use.
type replyWriter struct {
	connection net.Conn
	counts     *Counts
	traffic    *Traffic
	mutex      sync.Mutex
}

// write sends the reply to a request.
func (w *replyWriter) write(correlation uint64, message wire.Message) {
	encoded, err := wire.Encode(wire.Frame{Correlation: correlation, Reply: true, Message: message})
	if err != nil {
		return
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.connection.SetWriteDeadline(time.Now().Add(writeTimeout))
	written, err := w.connection.Write(encoded)
	w.counts.BytesSent.Add(int64(written))
	w.counts.FramesSent.Add(1)
	w.traffic.count(message, directionOut, written)
	if err != nil {
		w.connection.Close()
	}
}
