package transport

import (
	"errors"
	"net"
	"testing"
	"time"

	"github.com/pathtally/pathtally/internal/environment"
	"github.com/pathtally/pathtally/internal/standalone/loop"
	"github.com/pathtally/pathtally/internal/wire"
)

const callTimeout = 5 * time.Second

// endpoint is a transport with its own event loop.
type endpoint struct {
	*Transport
	address string
	loop    *loop.Loop
}

func listen(t *testing.T, protocol uint16, handler Handler) *endpoint {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	e := &endpoint{address: listener.Addr().String(), loop: loop.New()}
	e.Transport = Listen(listener, Config{Hello: wire.Hello{Protocol: protocol, Address: e.address}, Post: e.loop.Post, Handler: handler})
	t.Cleanup(func() {
		e.Transport.Close()
		e.loop.Close()
	})
	return e
}

// echo replies to a pull with the pull's name and version.
func echo(_ string, message wire.Message, reply func(wire.Message)) {
	pull := message.(*wire.DocumentPull)
	reply(&wire.DocumentReply{Name: pull.Name, Version: pull.Have})
}

type callResult struct {
	message wire.Message
	err     error
}

func (e *endpoint) request(to string, version uint64, timeout time.Duration) chan callResult {
	results := make(chan callResult, 2)
	e.Call(to, &wire.DocumentPull{Name: "d", Have: version}, timeout, func(message wire.Message, err error) { results <- callResult{message, err} })
	return results
}

func TestRepliesMatchTheirRequests(t *testing.T) {
	var held []func()
	server := listen(t, wire.ProtocolVersion, func(from string, message wire.Message, reply func(wire.Message)) {
		// Replies are sent in reverse order.
		held = append(held, func() { echo(from, message, reply) })
		if len(held) == 50 {
			for i := len(held) - 1; i >= 0; i-- {
				held[i]()
			}
		}
	})
	client := listen(t, wire.ProtocolVersion, echo)
	var calls []chan callResult
	for version := range uint64(50) {
		calls = append(calls, client.request(server.address, version, callTimeout))
	}
	for version, call := range calls {
		got := <-call
		if reply, ok := got.message.(*wire.DocumentReply); got.err != nil || !ok || reply.Version != uint64(version) {
			t.Fatalf("call %d got reply %+v, error %v", version, got.message, got.err)
		}
	}
}

// A reply that arrives after the timeout of its request must not end the request twice. It
// can only arrive over a connection that is in use, since a silent one is closed.
func TestLateReplyIsDropped(t *testing.T) {
	const timeout = 250 * time.Millisecond
	for name, inUse := range map[string]bool{"connection in use": true, "silent connection": false} {
		t.Run(name, func(t *testing.T) {
			release, replied := make(chan struct{}), make(chan struct{})
			server := listen(t, wire.ProtocolVersion, func(from string, message wire.Message, reply func(wire.Message)) {
				if message.(*wire.DocumentPull).Have != 1 {
					echo(from, message, reply)
					return
				}
				go func() {
					<-release
					echo(from, message, reply)
					close(replied)
				}()
			})
			client := listen(t, wire.ProtocolVersion, echo)
			connection := client.connectionTo(server.address, true)
			call := client.request(server.address, 1, timeout)
			for inUse && len(call) == 0 {
				if got := <-client.request(server.address, 2, callTimeout); got.err != nil {
					t.Fatal(got.err)
				}
				time.Sleep(timeout / 50)
			}
			if got := <-call; !errors.Is(got.err, environment.ErrPeerUnreachable) {
				t.Fatalf("got %+v, want ErrPeerUnreachable", got)
			}
			close(release)
			select {
			case <-replied:
			case <-time.After(callTimeout):
				t.Fatal("late reply was not sent")
			}
			// Replies arrive in the order in which they were written on a connection.
			next := server.address
			if !inUse {
				// A call to the server could still use the connection that is being closed.
				next = client.address
			}
			if got := <-client.request(next, 3, callTimeout); got.err != nil {
				t.Fatal(got.err)
			}
			if inUse && client.connectionTo(server.address, true) != connection {
				t.Fatal("later call was answered over another connection")
			}
			if len(call) > 0 {
				t.Error("late reply was delivered")
			}
		})
	}
}

func TestUnreachablePeerReturns(t *testing.T) {
	client := listen(t, wire.ProtocolVersion, echo)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	listener.Close()
	if got := <-client.request(address, 1, callTimeout); !errors.Is(got.err, environment.ErrPeerUnreachable) {
		t.Fatalf("got %+v, want ErrPeerUnreachable", got)
	}
	listener, err = net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	eventLoop := loop.New()
	defer eventLoop.Close()
	server := Listen(listener, Config{Hello: wire.Hello{Protocol: wire.ProtocolVersion}, Post: eventLoop.Post, Handler: echo})
	defer server.Close()
	if got := <-client.request(address, 2, callTimeout); got.err != nil {
		t.Errorf("call to the peer after its return: %v", got.err)
	}
}

func TestOtherProtocolVersionIsRejected(t *testing.T) {
	server := listen(t, wire.ProtocolVersion, echo)
	client := listen(t, wire.ProtocolVersion+1, echo)
	if got := <-client.request(server.address, 1, callTimeout); got.err == nil {
		t.Error("peer of another protocol version was served")
	}
}

func TestFailureReplyIsRemoteError(t *testing.T) {
	server := listen(t, wire.ProtocolVersion, func(_ string, _ wire.Message, reply func(wire.Message)) {
		reply(&wire.Failure{Code: uint16(wire.CodeNotServing), Detail: "no"})
	})
	client := listen(t, wire.ProtocolVersion, echo)
	var remote *wire.RemoteError
	if got := <-client.request(server.address, 1, callTimeout); !errors.As(got.err, &remote) || remote.Code != wire.CodeNotServing {
		t.Errorf("got error %v, want a *wire.RemoteError with CodeNotServing", got.err)
	}
}
