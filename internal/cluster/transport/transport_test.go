package transport

import (
	"errors"
	"net"
	"sync/atomic"
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

type answer struct {
	message wire.Message
	err     error
}

func (e *endpoint) ask(to string, version uint64, timeout time.Duration) chan answer {
	answers := make(chan answer, 2)
	e.Call(to, &wire.DocumentPull{Name: "d", Have: version}, timeout, func(message wire.Message, err error) { answers <- answer{message, err} })
	return answers
}

func TestEachCallGetsItsOwnAnswer(t *testing.T) {
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
	var calls []chan answer
	for version := range uint64(50) {
		calls = append(calls, client.ask(server.address, version, callTimeout))
	}
	for version, call := range calls {
		got := <-call
		if reply, ok := got.message.(*wire.DocumentReply); got.err != nil || !ok || reply.Version != uint64(version) {
			t.Fatalf("call %d got %+v, %v", version, got.message, got.err)
		}
	}
}

func TestLateAnswerIsDropped(t *testing.T) {
	release := make(chan struct{})
	var answered atomic.Int32
	server := listen(t, wire.ProtocolVersion, func(from string, message wire.Message, reply func(wire.Message)) {
		go func() {
			<-release
			echo(from, message, reply)
			answered.Add(1)
		}()
	})
	client := listen(t, wire.ProtocolVersion, echo)
	call := client.ask(server.address, 1, 50*time.Millisecond)
	if got := <-call; !errors.Is(got.err, environment.ErrPeerUnreachable) {
		t.Fatalf("got %+v", got)
	}
	close(release)
	if got := <-client.ask(client.address, 2, callTimeout); got.err != nil {
		t.Fatal(got.err)
	}
	if len(call) > 0 {
		t.Error("the late answer was delivered too")
	}
}

func TestUnreachablePeerAndItsReturn(t *testing.T) {
	client := listen(t, wire.ProtocolVersion, echo)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	listener.Close()
	if got := <-client.ask(address, 1, callTimeout); !errors.Is(got.err, environment.ErrPeerUnreachable) {
		t.Fatalf("got %+v", got)
	}
	listener, err = net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	back := loop.New()
	defer back.Close()
	server := Listen(listener, Config{Hello: wire.Hello{Protocol: wire.ProtocolVersion}, Post: back.Post, Handler: echo})
	defer server.Close()
	if got := <-client.ask(address, 2, callTimeout); got.err != nil {
		t.Errorf("after its return: %v", got.err)
	}
}

func TestOtherProtocolVersionIsRefused(t *testing.T) {
	server := listen(t, wire.ProtocolVersion, echo)
	client := listen(t, wire.ProtocolVersion+1, echo)
	if got := <-client.ask(server.address, 1, callTimeout); got.err == nil {
		t.Error("a peer of another protocol version was served")
	}
}

func TestRefusalIsTyped(t *testing.T) {
	server := listen(t, wire.ProtocolVersion, func(_ string, _ wire.Message, reply func(wire.Message)) {
		reply(&wire.Failure{Code: uint16(wire.CodeNotServing), Detail: "no"})
	})
	client := listen(t, wire.ProtocolVersion, echo)
	var remote *wire.RemoteError
	if got := <-client.ask(server.address, 1, callTimeout); !errors.As(got.err, &remote) || remote.Code != wire.CodeNotServing {
		t.Errorf("got %v", got.err)
	}
}
