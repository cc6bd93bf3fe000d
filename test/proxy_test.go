package test

import (
	"bytes"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// proxyMode is how a proxy treats connections and their bytes.
type proxyMode int32

const (
	proxyPass proxyMode = iota
	// proxyReset resets open and new connections.
	proxyReset
	// proxyFreeze keeps connections open and holds back their bytes.
	proxyFreeze
	// proxyOneWay forwards requests and drops responses.
	proxyOneWay
)

const (
	proxyPollInterval = 5 * time.Millisecond
	proxyBuffer       = 4 << 10
)

// proxy forwards TCP connections to a target and injects faults.
type proxy struct {
	listener net.Listener
	target   atomic.Pointer[string]
	mode     atomic.Int32
	// resetResponseAfter, if above 0, is the number of response bytes after which each
	// connection is reset.
	resetResponseAfter atomic.Int64
	// resetRequestAfter, if not negative, is the number of request bytes after which each
	// connection is reset.
	resetRequestAfter atomic.Int64
	delay             atomic.Int64
	// markerCount counts the occurrences of marker in all forwarded bytes; an empty
	// marker counts nothing.
	marker      string
	markerCount atomic.Int64
	mutex       sync.Mutex
	open        map[net.Conn]bool
	// blackholed are the connections that never forward anything again.
	blackholed map[net.Conn]bool
}

func newProxy(t *testing.T, target string) *proxy {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &proxy{listener: listener, open: map[net.Conn]bool{}, blackholed: map[net.Conn]bool{}}
	p.setTarget(target)
	p.resetRequestAfter.Store(-1)
	go p.accept()
	t.Cleanup(func() {
		listener.Close()
		p.set(proxyReset)
		p.resetBlackholed()
	})
	return p
}

// setTarget sets the address that new connections are forwarded to.
func (p *proxy) setTarget(target string) { p.target.Store(&target) }

func (p *proxy) address() string { return p.listener.Addr().String() }

// set changes the mode. proxyReset also resets the open connections.
func (p *proxy) set(mode proxyMode) {
	p.mode.Store(int32(mode))
	if mode == proxyReset {
		p.resetOpen()
	}
}

// close stops listening, so that new connections are refused as after the end of a
// process.
func (p *proxy) close() { p.listener.Close() }

func (p *proxy) resetOpen() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for connection := range p.open {
		reset(connection)
	}
}

// blackhole makes the open connections drop all bytes and their close for good. New
// connections are not affected. It returns the number of connections affected so far.
func (p *proxy) blackhole() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for connection := range p.open {
		p.blackholed[connection] = true
	}
	clear(p.open)
	return len(p.blackholed) / 2
}

func (p *proxy) isBlackholed(connection net.Conn) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.blackholed[connection]
}

// resetBlackholed resets the connections that blackhole affected.
func (p *proxy) resetBlackholed() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for connection := range p.blackholed {
		reset(connection)
	}
}

func reset(connection net.Conn) {
	if tcp, ok := connection.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
	connection.Close()
}

func (p *proxy) accept() {
	for {
		connection, err := p.listener.Accept()
		if err != nil {
			return
		}
		if proxyMode(p.mode.Load()) == proxyReset {
			reset(connection)
			continue
		}
		go p.serve(connection)
	}
}

func (p *proxy) serve(client net.Conn) {
	server, err := net.Dial("tcp", *p.target.Load())
	if err != nil {
		reset(client)
		return
	}
	p.mutex.Lock()
	p.open[client], p.open[server] = true, true
	p.mutex.Unlock()
	var both sync.WaitGroup
	both.Go(func() { p.copy(server, client, false) })
	both.Go(func() { p.copy(client, server, true) })
	both.Wait()
	p.mutex.Lock()
	delete(p.open, client)
	delete(p.open, server)
	p.mutex.Unlock()
}

func (p *proxy) copy(to, from net.Conn, responses bool) {
	defer func() {
		from.Close()
		if !p.isBlackholed(from) {
			to.Close()
		}
	}()
	buffer := make([]byte, proxyBuffer)
	passed := int64(0)
	var tail []byte
	for {
		count, err := from.Read(buffer)
		if err != nil {
			return
		}
		tail = p.countMarkers(append(tail, buffer[:count]...))
		time.Sleep(time.Duration(p.delay.Load()))
		for proxyMode(p.mode.Load()) == proxyFreeze {
			time.Sleep(proxyPollInterval)
		}
		if p.isBlackholed(from) || (responses && proxyMode(p.mode.Load()) == proxyOneWay) {
			continue
		}
		limit, limited := p.resetLimit(responses)
		if limited && passed+int64(count) > limit {
			to.Write(buffer[:max(0, limit-passed)])
			reset(to)
			reset(from)
			return
		}
		passed += int64(count)
		if _, err := to.Write(buffer[:count]); err != nil {
			return
		}
	}
}

// countMarkers counts the markers in the bytes and returns the tail that may hold the
// start of another marker.
func (p *proxy) countMarkers(seen []byte) []byte {
	if p.marker == "" {
		return nil
	}
	p.markerCount.Add(int64(bytes.Count(seen, []byte(p.marker))))
	return bytes.Clone(seen[max(0, len(seen)-len(p.marker)+1):])
}

// resetLimit returns the number of bytes of a direction after which the connection is reset,
// and whether there is such a limit.
func (p *proxy) resetLimit(responses bool) (int64, bool) {
	if responses {
		limit := p.resetResponseAfter.Load()
		return limit, limit > 0
	}
	limit := p.resetRequestAfter.Load()
	return limit, limit >= 0
}

// A blackholed connection must stay open without data when the link is reset and
// restored, while new connections work.
func TestBlackholedConnectionStaysBlackholed(t *testing.T) {
	link := newProxy(t, startEcho(t))
	old := dialEcho(t, link)
	if count := link.blackhole(); count != 1 {
		t.Errorf("%d connections were blackholed, want 1", count)
	}
	link.set(proxyReset)
	link.set(proxyPass)
	fresh := dialEcho(t, link)
	if _, err := old.Write([]byte("x")); err != nil {
		t.Error(err)
	}
	old.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
	var timeout net.Error
	if _, err := old.Read(make([]byte, 1)); !errors.As(err, &timeout) || !timeout.Timeout() {
		t.Errorf("read from the blackholed connection: %v, want a timeout", err)
	}
	fresh.Close()
}

// startEcho starts an echo server and returns its address.
func startEcho(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				io.Copy(connection, connection)
				connection.Close()
			}()
		}
	}()
	return listener.Addr().String()
}

// dialEcho opens a connection through a proxy and checks that it echoes.
func dialEcho(t *testing.T, link *proxy) net.Conn {
	t.Helper()
	connection, err := net.Dial("tcp", link.address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { connection.Close() })
	connection.SetDeadline(time.Now().Add(waitTimeout))
	if _, err := connection.Write([]byte("a")); err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadFull(connection, make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	return connection
}
