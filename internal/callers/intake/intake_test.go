package intake

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// testServer is an HTTP server behind a Listener.
type testServer struct {
	*Listener
	address string
	// served counts the requests that reached the handler.
	served atomic.Int64
}

// startServer starts a server whose handler reads the body, then calls serve.
func startServer(t *testing.T, limits Limits, serve http.HandlerFunc) *testServer {
	t.Helper()
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	started := &testServer{Listener: NewListener(raw, "test", limits, nil), address: raw.Addr().String()}
	server := &http.Server{Handler: http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		Received(request.Context())
		started.served.Add(1)
		serve(writer, request)
	})}
	Prepare(server)
	go server.Serve(started.Listener)
	t.Cleanup(func() { server.Close() })
	return started
}

func respondOK(writer http.ResponseWriter, _ *http.Request) { io.WriteString(writer, "ok") }

// connect opens a connection and sends a text.
func (s *testServer) connect(t *testing.T, text string) net.Conn {
	t.Helper()
	connection, err := net.Dial("tcp", s.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { connection.Close() })
	if _, err := io.WriteString(connection, text); err != nil {
		t.Fatal(err)
	}
	return connection
}

// status returns the status of the response on a connection, 0 if it was closed.
func status(connection net.Conn) int {
	connection.SetReadDeadline(time.Now().Add(10 * time.Second))
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

// awaitOpen waits until the listener has the given number of open connections.
func (s *testServer) awaitOpen(t *testing.T, want int) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		s.mutex.Lock()
		open := s.Listener.open
		s.mutex.Unlock()
		if open == want {
			return
		}
	}
	t.Fatalf("timed out waiting for %d open connections", want)
}

const ordinaryRequest = "GET / HTTP/1.1\r\nHost: host\r\n\r\n"

// Guards against idle connections that keep others from being accepted.
func TestLongestIdleConnectionGivesWay(t *testing.T) {
	server := startServer(t, Limits{Connections: 3}, respondOK)
	first := server.connect(t, "")
	server.awaitOpen(t, 1)
	second := server.connect(t, "GET / HT")
	server.awaitOpen(t, 2)
	third := server.connect(t, ordinaryRequest)
	if got := status(third); got != http.StatusOK {
		t.Fatalf("third connection: status %d", got)
	}
	fourth := server.connect(t, ordinaryRequest)
	if got := status(fourth); got != http.StatusOK {
		t.Errorf("connection at the limit: status %d, want 200", got)
	}
	if got := status(first); got != 0 {
		t.Errorf("longest idle connection: status %d, want closed", got)
	}
	if _, err := io.WriteString(second, "TP/1.1\r\nHost: host\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	if got := status(second); got != http.StatusOK {
		t.Errorf("connection that is not the longest idle one: status %d, want 200", got)
	}
}

// A request that is being served is not ended for the benefit of another one.
func TestServedConnectionStays(t *testing.T) {
	release := make(chan struct{})
	server := startServer(t, Limits{Connections: 1}, func(writer http.ResponseWriter, _ *http.Request) {
		<-release
		io.WriteString(writer, "ok")
	})
	served := server.connect(t, ordinaryRequest)
	for server.served.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	if got := status(server.connect(t, ordinaryRequest)); got != 0 {
		t.Errorf("connection over the limit: status %d, want closed", got)
	}
	close(release)
	if got := status(served); got != http.StatusOK {
		t.Errorf("served connection: status %d, want 200", got)
	}
}

// Guards against heads over the limit of the configuration, and against refusing one within it.
func TestHeadOverTheLimitIsRefused(t *testing.T) {
	const limit = 16 << 10
	server := startServer(t, Limits{Connections: 10, MaxHeadBytes: func() int64 { return limit }}, respondOK)
	fill := "X-Fill: " + strings.Repeat("x", limit-len(ordinaryRequest)-len("X-Fill: \r\n")) + "\r\n"
	head := "GET / HTTP/1.1\r\nHost: host\r\n" + fill + "\r\n"
	if len(head) != limit {
		t.Fatalf("head of %d bytes, want %d", len(head), limit)
	}
	connection := server.connect(t, "")
	for range 3 {
		io.WriteString(connection, head)
		if got := status(connection); got != http.StatusOK {
			t.Fatalf("head of the limit: status %d, want 200", got)
		}
	}
	body := strings.Repeat("b", 4*limit)
	io.WriteString(connection, fmt.Sprintf("POST / HTTP/1.1\r\nHost: host\r\nContent-Length: %d\r\n\r\n%s", len(body), body))
	if got := status(connection); got != http.StatusOK {
		t.Errorf("body over the limit of heads: status %d, want 200", got)
	}
	if got := status(server.connect(t, "GET / HTTP/1.1\r\nHost: host\r\n"+fill+fill)); got != http.StatusRequestHeaderFieldsTooLarge {
		t.Errorf("head over the limit: status %d, want 431", got)
	}
}

// Guards against incomplete heads that keep the memory for heads.
func TestLongestIncompleteHeadGivesWay(t *testing.T) {
	part := "GET / HTTP/1.1\r\nX-Fill: " + strings.Repeat("x", 2048)
	server := startServer(t, Limits{Connections: 10, HeadMemoryBytes: 3 * headMemory(len(part), 2)}, respondOK)
	var incomplete []net.Conn
	for number := range 3 {
		incomplete = append(incomplete, server.connect(t, part))
		server.awaitOpen(t, number+1)
		time.Sleep(20 * time.Millisecond)
	}
	if got := status(server.connect(t, part+"\r\nHost: host\r\n\r\n")); got != http.StatusOK {
		t.Errorf("head beyond the memory: status %d, want 200", got)
	}
	if got := status(incomplete[0]); got != 0 {
		t.Errorf("longest incomplete head: status %d, want closed", got)
	}
	io.WriteString(incomplete[2], "\r\nHost: host\r\n\r\n")
	if got := status(incomplete[2]); got != http.StatusOK {
		t.Errorf("latest incomplete head: status %d, want 200", got)
	}
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline) && server.heads.Used() > headMemory(2*len(part), 8); {
		time.Sleep(time.Millisecond)
	}
	incomplete[1].Close()
	server.awaitOpen(t, 2)
	if used := server.heads.Used(); used != 0 {
		t.Errorf("%d bytes of heads still reserved", used)
	}
}

// Guards against incomplete bodies and unread responses that keep the memory that others need.
func TestRequestWithoutProgressGivesWay(t *testing.T) {
	large := strings.Repeat("x", 64<<20)
	server := startServer(t, Limits{Connections: 10}, func(writer http.ResponseWriter, request *http.Request) {
		if request.URL.Path == "/large" {
			io.WriteString(writer, large)
		}
	})
	if server.CloseIncomplete() || server.CloseUnread() {
		t.Error("a connection was closed, though there is none")
	}
	body := server.connect(t, "POST / HTTP/1.1\r\nHost: host\r\nContent-Length: 10\r\n\r\nx")
	unread := server.connect(t, "GET /large HTTP/1.1\r\nHost: host\r\n\r\n")
	for deadline := time.Now().Add(10 * time.Second); !server.CloseIncomplete(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("no incomplete body was found")
		}
	}
	if got := status(body); got != 0 {
		t.Errorf("incomplete body: status %d, want closed", got)
	}
	for deadline := time.Now().Add(10 * time.Second); !server.CloseUnread(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("no unread response was found")
		}
	}
	if read, err := io.Copy(io.Discard, unread); err == nil && read >= int64(len(large)) {
		t.Errorf("%d bytes of the unread response arrived", read)
	}
	if server.CloseIncomplete() || server.CloseUnread() {
		t.Error("another connection was closed")
	}
}

// Guards against counting a body that the handler has not read as a part of the next head.
func TestUnreadBodyIsNoHead(t *testing.T) {
	const limit = 16 << 10
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) { writer.WriteHeader(http.StatusServiceUnavailable) })}
	Prepare(server)
	go server.Serve(NewListener(raw, "test", Limits{Connections: 10, MaxHeadBytes: func() int64 { return limit }}, nil))
	t.Cleanup(func() { server.Close() })
	connection, err := net.Dial("tcp", raw.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer connection.Close()
	body := strings.Repeat("b", 8*limit)
	reader := bufio.NewReader(connection)
	connection.SetDeadline(time.Now().Add(10 * time.Second))
	for number := range 3 {
		if _, err := fmt.Fprintf(connection, "POST / HTTP/1.1\r\nHost: host\r\nContent-Length: %d\r\n\r\n%s", len(body), body); err != nil {
			t.Fatalf("request %d: %v", number, err)
		}
		response, err := http.ReadResponse(reader, nil)
		if err != nil || response.StatusCode != http.StatusServiceUnavailable {
			t.Fatalf("request %d: response %+v, error %v, want status 503", number, response, err)
		}
		response.Body.Close()
	}
}
