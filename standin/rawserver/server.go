package rawserver

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
)

// Respond writes the response to a request whose head has been read. The connection is closed
// afterwards, which resets it if the body has not been read.
type Respond func(connection *net.TCPConn, request *http.Request)

// Start starts a server that runs until the test ends, and returns its address.
func Start(t testing.TB, respond Respond) string {
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
			go serve(connection.(*net.TCPConn), respond)
		}
	}()
	return listener.Addr().String()
}

func serve(connection *net.TCPConn, respond Respond) {
	defer connection.Close()
	if request, err := http.ReadRequest(bufio.NewReader(connection)); err == nil {
		respond(connection, request)
	}
}

// Text returns a Respond that sends a text and ends the connection in order, after it has read the
// body.
func Text(text string) Respond {
	return func(connection *net.TCPConn, request *http.Request) {
		if _, err := io.Copy(io.Discard, request.Body); err == nil {
			io.WriteString(connection, text)
		}
	}
}

// ResetAfter returns a Respond that sends a text and resets the connection without reading the body.
func ResetAfter(text string) Respond {
	return func(connection *net.TCPConn, _ *http.Request) {
		io.WriteString(connection, text)
		connection.SetLinger(0)
	}
}

// EndAfter returns a Respond that sends a text, ends its side in order without reading the body, and
// keeps the connection open until the test ends.
func EndAfter(t testing.TB, text string) Respond {
	done := make(chan struct{})
	t.Cleanup(func() { close(done) })
	return func(connection *net.TCPConn, _ *http.Request) {
		io.WriteString(connection, text)
		connection.CloseWrite()
		<-done
	}
}
