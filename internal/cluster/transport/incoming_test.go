package transport

import (
	"net"
	"testing"
	"time"

	"github.com/pathtally/pathtally/internal/wire"
)

// Guards against connections that say nothing and keep other nodes from connecting.
func TestPeersWithoutHelloGiveWay(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	hello := wire.Hello{Protocol: wire.ProtocolVersion, Node: "node", Address: listener.Addr().String()}
	transport := Listen(listener, Config{
		Hello: hello, Post: func(call func()) { go call() }, MaxIncoming: 2,
		Handler: func(_ string, _ wire.Message, reply func(wire.Message)) { reply(&wire.Done{}) },
	})
	defer transport.Close()
	var silent []net.Conn
	for range 4 {
		connection, err := net.Dial("tcp", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer connection.Close()
		silent = append(silent, connection)
		time.Sleep(20 * time.Millisecond)
	}
	replied := make(chan error, 1)
	transport.Call(listener.Addr().String(), &wire.Done{}, 5*time.Second, func(_ wire.Message, err error) { replied <- err })
	if err := <-replied; err != nil {
		t.Errorf("call of a peer beside silent connections: %v", err)
	}
	silent[0].SetReadDeadline(time.Now().Add(5 * time.Second))
	if _, err := silent[0].Read(make([]byte, 1)); err == nil {
		t.Error("the connection that was silent for longest is still open")
	}
}
