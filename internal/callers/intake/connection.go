package intake

import (
	"bytes"
	"container/list"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
)

var (
	// errHeadTooLarge means that the head of a request is over the limit.
	errHeadTooLarge = merry.Sentinel("head of the request is too large")
	// errHeadMemory means that the heads of all requests take too much memory.
	errHeadMemory = merry.Sentinel("no memory for the head of the request")
)

// refusalLinger is how long a connection stays open after headTooLargeResponse.
const refusalLinger = 250 * time.Millisecond

// headTooLargeResponse refuses a request whose head is over the limit.
const headTooLargeResponse = "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// Connection is a connection of a caller.
type Connection struct {
	net.Conn
	listener  *Listener
	closeOnce sync.Once
	closeErr  error
	// readsHead is set while the connection is idle or the head of a request is received, and
	// headBytes counts the bytes of that head. The reading goroutine writes headBytes.
	readsHead atomic.Bool
	headBytes int64
	// readsBody is set while the body of a request is received, until its handler ends. After
	// that, net/http reads the rest of the body before the connection is idle.
	readsBody atomic.Bool
	// writeBegan is when the write in progress began, in nanoseconds since the listener was
	// created; 0 if there is none.
	writeBegan atomic.Int64

	// The mutex of the listener guards the other fields.

	// element is the entry in the list of waiting connections; nil while the connection is served.
	element *list.Element
	// since is the time since which the connection waits, receives a request, or is served.
	since time.Time
	// headMemory is the estimated memory of the head of the request in progress.
	headMemory int64
	// ended is closed when the request in progress ends.
	ended chan struct{}
	// closed is set once the listener has forgotten the connection.
	closed bool
}

// Read implements net.Conn.
func (c *Connection) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	if n == 0 || !c.readsHead.Load() {
		return n, err
	}
	if headErr := c.countHead(buffer[:n]); headErr != nil {
		return 0, headErr
	}
	return n, err
}

// countHead checks a part of a head against the limits.
func (c *Connection) countHead(part []byte) error {
	if c.headBytes == 0 {
		c.beginHead()
	}
	c.headBytes += int64(len(part))
	if limit := c.listener.limits.maxHeadBytes(); limit > 0 && c.headBytes > limit {
		c.listener.metrics.count(c.listener.name, reasonHeadSize)
		c.refuse()
		return readError(errHeadTooLarge)
	}
	needed := headMemory(len(part), bytes.Count(part, []byte{'\n'}))
	if !c.listener.heads.Reserve(needed) {
		c.listener.metrics.count(c.listener.name, reasonHeadMemory)
		return readError(errHeadMemory)
	}
	c.listener.mutex.Lock()
	defer c.listener.mutex.Unlock()
	if c.closed {
		c.listener.heads.Release(needed)
		return readError(net.ErrClosed)
	}
	c.headMemory += needed
	return nil
}

// readError returns the error of a read. net/http does not respond after a net.OpError.
func readError(cause error) error { return &net.OpError{Op: "read", Net: "tcp", Err: cause} }

// refuse sends the response to a request whose head is too large. If that fails, the caller sees only
// that the connection is closed.
func (c *Connection) refuse() {
	if c.Conn.SetWriteDeadline(time.Now().Add(stallTime)) != nil {
		return
	}
	if _, err := io.WriteString(c.Conn, headTooLargeResponse); err != nil || c.CloseWrite() != nil {
		return
	}
	// A connection that is closed while data is unread is reset, and the response may be lost.
	time.Sleep(refusalLinger)
}

// beginHead records that the connection begins to receive a request.
func (c *Connection) beginHead() {
	c.listener.mutex.Lock()
	defer c.listener.mutex.Unlock()
	if c.element != nil {
		c.listener.wait(c)
	}
}

// Write implements net.Conn.
func (c *Connection) Write(buffer []byte) (int, error) {
	c.writeBegan.Store(int64(time.Since(c.listener.created)))
	defer c.writeBegan.Store(0)
	return c.Conn.Write(buffer)
}

// stalls reports whether a write has been blocked for at least stallTime.
func (c *Connection) stalls() bool {
	began := c.writeBegan.Load()
	return began != 0 && time.Since(c.listener.created)-time.Duration(began) >= stallTime
}

// Close implements net.Conn.
func (c *Connection) Close() error {
	c.closeOnce.Do(func() {
		c.closeErr = c.Conn.Close()
		c.listener.remove(c)
	})
	return c.closeErr
}

// CloseWrite closes the sending side of a TCP connection.
func (c *Connection) CloseWrite() error {
	if tcp, isTCP := c.Conn.(interface{ CloseWrite() error }); isTCP {
		return tcp.CloseWrite()
	}
	return nil
}

// SetLinger sets what closing a TCP connection does with unsent data.
func (c *Connection) SetLinger(seconds int) error {
	if tcp, isTCP := c.Conn.(interface{ SetLinger(int) error }); isTCP {
		return tcp.SetLinger(seconds)
	}
	return nil
}

// begin records that the head of a request is complete.
func (c *Connection) begin() {
	c.readsHead.Store(false)
	c.readsBody.Store(true)
}

// received records that a request is complete and is being served.
func (c *Connection) received() {
	c.readsBody.Store(false)
	c.listener.mutex.Lock()
	defer c.listener.mutex.Unlock()
	if c.element != nil {
		c.listener.leaveWaiting(c)
		c.listener.served[c] = true
		c.since = time.Now()
	}
}

// end records that the handler of a request has ended.
func (c *Connection) end() {
	c.readsBody.Store(false)
	c.listener.mutex.Lock()
	defer c.listener.mutex.Unlock()
	close(c.ended)
	c.ended = make(chan struct{})
	c.listener.releaseHead(c)
	if c.element != nil || c.listener.served[c] {
		c.listener.wait(c)
	}
}

// idle records that the connection waits for the next request.
func (c *Connection) idle() {
	c.headBytes = 0
	c.readsHead.Store(true)
}

// requestEnd returns a channel that is closed when the request in progress ends. The mutex of the
// listener must be held. The receiver may be nil.
func (c *Connection) requestEnd() <-chan struct{} {
	if c == nil {
		return nil
	}
	return c.ended
}
