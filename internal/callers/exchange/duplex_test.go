package exchange

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"testing"
	"time"
)

// endTimeout bounds what must not depend on the peer.
const endTimeout = 20 * time.Second

// orderedConn fixes the order in which the kernel reports the end of a connection: a write gets its
// error before anything is read.
type orderedConn struct {
	net.Conn
	// written is closed when a write has got its error, ended when a read has found the end.
	written, ended chan struct{}
	// returnsLate makes that write return only after a read has found the end.
	returnsLate bool
	once        sync.Once
}

func newOrderedConn(raw net.Conn, returnsLate bool) *orderedConn {
	return &orderedConn{Conn: raw, written: make(chan struct{}), ended: make(chan struct{}), returnsLate: returnsLate}
}

func (c *orderedConn) Write(buffer []byte) (int, error) {
	n, err := c.Conn.Write(buffer)
	if err != nil {
		close(c.written)
		if c.returnsLate {
			<-c.ended
		}
	}
	return n, err
}

func (c *orderedConn) Read(buffer []byte) (int, error) {
	<-c.written
	n, err := c.Conn.Read(buffer)
	if err != nil {
		c.once.Do(func() { close(c.ended) })
	}
	return n, err
}

// connect returns a connection to a peer that sends a text, then calls end.
func connect(t *testing.T, text string, end func(peer *net.TCPConn)) net.Conn {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	dialed := make(chan struct{})
	go func() {
		accepted, err := listener.Accept()
		if err != nil {
			return
		}
		<-dialed
		io.WriteString(accepted, text)
		end(accepted.(*net.TCPConn))
	}()
	raw, err := net.DialTimeout("tcp", listener.Addr().String(), endTimeout)
	if err != nil {
		t.Fatal(err)
	}
	close(dialed)
	t.Cleanup(func() { raw.Close() })
	if err := raw.SetReadDeadline(time.Now().Add(endTimeout)); err != nil {
		t.Fatal(err)
	}
	return raw
}

func reset(peer *net.TCPConn) {
	peer.SetLinger(0)
	peer.Close()
}

// readDuringUpload writes longUpload to a connection and reads what the peer sends.
func readDuringUpload(t *testing.T, conn net.Conn) (text string, readErr, writeErr error) {
	t.Helper()
	written := make(chan error, 1)
	go func() {
		_, err := conn.Write(make([]byte, longUpload))
		written <- err
	}()
	read, readErr := io.ReadAll(conn)
	select {
	case writeErr = <-written:
	case <-time.After(endTimeout):
		t.Fatal("the write did not end")
	}
	return string(read), readErr, writeErr
}

// Guards against the end of a stream in place of a reset of which a write got the error.
func TestResetReachesTheReader(t *testing.T) {
	for name, returnsLate := range map[string]bool{"write returned": false, "write returning": true} {
		t.Run(name, func(t *testing.T) {
			conn := &duplexConn{Conn: newOrderedConn(connect(t, "part", reset), returnsLate)}
			text, readErr, writeErr := readDuringUpload(t, conn)
			if !errors.Is(writeErr, syscall.ECONNRESET) {
				t.Fatalf("write: %v, want a reset, so the test proves nothing", writeErr)
			}
			if text != "part" || !errors.Is(readErr, syscall.ECONNRESET) {
				t.Errorf("read %q, error %v, want a reset", text, readErr)
			}
		})
	}
}

// A peer that closes its socket after it has ended its side answers what is still written with a
// reset. What it sent is complete.
func TestResetAfterTheEndIsNotALoss(t *testing.T) {
	ordered := newOrderedConn(connect(t, "whole", func(peer *net.TCPConn) {
		peer.CloseWrite()
		reset(peer)
	}), false)
	conn := &duplexConn{Conn: ordered}
	text, readErr, writeErr := readDuringUpload(t, conn)
	if text != "whole" || readErr != nil || writeErr == nil {
		t.Errorf("read %q, error %v; write error %v", text, readErr, writeErr)
	}
}

// A peer that ends its side and does not read must not hold up the reader.
func TestEndInOrderEndsTheUpload(t *testing.T) {
	done := make(chan struct{})
	defer close(done)
	conn := &duplexConn{Conn: connect(t, "whole", func(peer *net.TCPConn) {
		peer.CloseWrite()
		<-done
		peer.Close()
	})}
	text, readErr, writeErr := readDuringUpload(t, conn)
	if text != "whole" || readErr != nil || writeErr == nil {
		t.Errorf("read %q, error %v; write error %v", text, readErr, writeErr)
	}
}

func TestErrorsOfAnOpenConnectionAreUnchanged(t *testing.T) {
	conn := &duplexConn{Conn: connect(t, "", func(*net.TCPConn) {})}
	if err := conn.SetReadDeadline(time.Now()); err != nil {
		t.Fatal(err)
	}
	var timeout net.Error
	if _, err := conn.Read(make([]byte, 1)); !errors.As(err, &timeout) || !timeout.Timeout() {
		t.Errorf("read: %v, want a timeout", err)
	}
	if _, err := conn.Write([]byte("still open")); err != nil {
		t.Errorf("write after a timeout of the read: %v", err)
	}
}
