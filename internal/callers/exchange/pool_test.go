package exchange

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// startServer starts a server that handles each connection with the next of the functions, and
// returns its address.
func startServer(t *testing.T, handlers ...func(connection net.Conn, requests *bufio.Reader)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for _, handler := range handlers {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer connection.Close()
				handler(connection, bufio.NewReader(connection))
			}()
		}
	}()
	return listener.Addr().String()
}

// readRequest reads one request and its body.
func readRequest(requests *bufio.Reader) (*http.Request, string, error) {
	request, err := http.ReadRequest(requests)
	if err != nil {
		return nil, "", err
	}
	body, err := io.ReadAll(request.Body)
	return request, string(body), err
}

func post(body string) *Request {
	return &Request{Method: http.MethodPost, Target: "/a%2Fb?c=%20d", Host: "host.example", Header: http.Header{"X-Name": {"v"}}, Body: []byte(body)}
}

// roundTripBody sends a request and returns the complete response body.
func roundTripBody(pool *Pool, address string, request *Request) (string, error) {
	response, err := pool.Send(context.Background(), address, request, false)
	if err != nil {
		return "", err
	}
	defer response.Close()
	body, err := io.ReadAll(response)
	return string(body), err
}

const okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

func TestSendPreservesRequest(t *testing.T) {
	received := make(chan *http.Request, 1)
	address := startServer(t, func(connection net.Conn, requests *bufio.Reader) {
		request, body, _ := readRequest(requests)
		request.Header.Set("Body", body)
		received <- request
		io.WriteString(connection, okResponse)
	})
	if body, err := roundTripBody(NewPool(nil), address, post("hello")); body != "ok" || err != nil {
		t.Fatalf("body %q, error %v", body, err)
	}
	request := <-received
	if request.RequestURI != "/a%2Fb?c=%20d" || request.Host != "host.example" || request.Header.Get("Body") != "hello" || request.Header.Get("X-Name") != "v" {
		t.Errorf("received request target %s, host %s, headers %v", request.RequestURI, request.Host, request.Header)
	}
	for _, added := range []string{"User-Agent", "Accept-Encoding"} {
		if request.Header.Get(added) != "" {
			t.Errorf("header %s added", added)
		}
	}
}

func TestConnectionIsReused(t *testing.T) {
	address := startServer(t, func(connection net.Conn, requests *bufio.Reader) {
		for range 3 {
			if _, _, err := readRequest(requests); err != nil {
				return
			}
			io.WriteString(connection, okResponse)
		}
	})
	pool := NewPool(nil)
	for range 3 {
		if _, err := roundTripBody(pool, address, post("x")); err != nil {
			t.Fatal(err)
		}
	}
	if dialed := pool.Counts.Dialed.Load(); dialed != 1 {
		t.Errorf("%d connections opened, want 1", dialed)
	}
}

// Guards against reading the response of another request from a reused connection.
func TestUnusableConnectionIsNotReused(t *testing.T) {
	second := func(connection net.Conn, requests *bufio.Reader) {
		readRequest(requests)
		io.WriteString(connection, "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nsecond")
	}
	for _, test := range []struct {
		name  string
		first func(connection net.Conn, requests *bufio.Reader)
	}{
		{"unsolicited data", func(connection net.Conn, requests *bufio.Reader) {
			readRequest(requests)
			io.WriteString(connection, okResponse+okResponse)
			readRequest(requests)
		}},
		{"unsolicited data later", func(connection net.Conn, requests *bufio.Reader) {
			readRequest(requests)
			io.WriteString(connection, okResponse)
			time.Sleep(20 * time.Millisecond)
			io.WriteString(connection, okResponse)
			readRequest(requests)
		}},
		{"closed while idle", func(connection net.Conn, requests *bufio.Reader) {
			readRequest(requests)
			io.WriteString(connection, okResponse)
		}},
		{"Connection: close", func(connection net.Conn, requests *bufio.Reader) {
			readRequest(requests)
			io.WriteString(connection, strings.Replace(okResponse, "\r\n\r\n", "\r\nConnection: close\r\n\r\n", 1))
			readRequest(requests)
		}},
		{"no framing", func(connection net.Conn, requests *bufio.Reader) {
			readRequest(requests)
			io.WriteString(connection, "HTTP/1.1 200 OK\r\n\r\nok")
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			address := startServer(t, test.first, second)
			pool := NewPool(nil)
			if body, err := roundTripBody(pool, address, post("x")); body != "ok" || err != nil {
				t.Fatalf("first response %q, error %v", body, err)
			}
			time.Sleep(60 * time.Millisecond)
			if body, err := roundTripBody(pool, address, post("x")); body != "second" || err != nil {
				t.Errorf("second response %q, error %v", body, err)
			}
		})
	}
}

func TestEarlyResponseClosesConnection(t *testing.T) {
	released := make(chan struct{})
	address := startServer(t, func(connection net.Conn, requests *bufio.Reader) {
		http.ReadRequest(requests)
		io.WriteString(connection, okResponse)
		<-released
		// Only the rest of the body or EOF may follow.
		rest, _ := io.ReadAll(requests)
		if strings.Contains(string(rest), "POST") {
			t.Error("another request followed an incomplete body")
		}
	}, func(connection net.Conn, requests *bufio.Reader) {
		readRequest(requests)
		io.WriteString(connection, okResponse)
	})
	pool := NewPool(nil)
	for range 2 {
		if body, err := roundTripBody(pool, address, post(strings.Repeat("x", 8<<20))); body != "ok" || err != nil {
			t.Errorf("body %q, error %v", body, err)
		}
	}
	close(released)
	if dialed := pool.Counts.Dialed.Load(); dialed != 2 {
		t.Errorf("%d connections opened, want 2", dialed)
	}
}

func TestTruncatedResponseIsBroken(t *testing.T) {
	for _, test := range []struct{ name, response string }{
		{"in the body", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok"},
		{"in a chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab"},
		{"before the last chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n"},
		{"in the head", "HTTP/1.1 200 OK\r\nContent-"},
		{"before the head", ""},
		{"not HTTP", "\x16\x03nonsense\r\n\r\n"},
	} {
		t.Run(test.name, func(t *testing.T) {
			address := startServer(t, func(connection net.Conn, requests *bufio.Reader) {
				readRequest(requests)
				io.WriteString(connection, test.response)
			})
			body, err := roundTripBody(NewPool(nil), address, post("x"))
			var broken *BrokenError
			if !errors.As(err, &broken) {
				t.Errorf("body %q, error %v, want BrokenError", body, err)
			}
		})
	}
}

func TestConnectionRefusedIsNotSent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listener.Close()
	_, err = roundTripBody(NewPool(nil), listener.Addr().String(), post("x"))
	var notSent *NotSentError
	if !errors.As(err, &notSent) {
		t.Errorf("error %v, want NotSentError", err)
	}
}

func TestCancelClosesConnection(t *testing.T) {
	closed := make(chan struct{})
	received := make(chan struct{})
	address := startServer(t, func(_ net.Conn, requests *bufio.Reader) {
		readRequest(requests)
		close(received)
		requests.ReadByte()
		close(closed)
	})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-received
		cancel()
	}()
	_, err := NewPool(nil).Send(ctx, address, post("x"), false)
	if !errors.Is(err, context.Canceled) {
		t.Errorf("error %v, want context.Canceled", err)
	}
	<-closed
}

func TestKeepAliveTimeout(t *testing.T) {
	for _, test := range []struct {
		header string
		want   time.Duration
		found  bool
	}{{"timeout=5, max=10", 5 * time.Second, true}, {"max=10, Timeout = 7", 7 * time.Second, true}, {"", 0, false}, {"timeout=x", 0, false}} {
		got, found := keepAliveTimeout(http.Header{"Keep-Alive": {test.header}})
		if got != test.want || found != test.found {
			t.Errorf("%q: timeout %s, found %v", test.header, got, found)
		}
	}
}

// Guards against unlimited connections to a replica and idle ones to removed replicas.
func TestConnectionLimits(t *testing.T) {
	proceed := make(chan struct{})
	handler := func(connection net.Conn, requests *bufio.Reader) {
		for {
			if _, _, err := readRequest(requests); err != nil {
				return
			}
			<-proceed
			io.WriteString(connection, okResponse)
		}
	}
	address := startServer(t, handler, handler, handler)
	pool := NewPool(nil)
	pool.SetLimits(map[string]ConnectionLimits{address: {Open: 2, Idle: 1}})
	type result struct {
		body string
		err  error
	}
	results := make(chan result, 2)
	for range 2 {
		go func() {
			body, err := roundTripBody(pool, address, post("x"))
			results <- result{body, err}
		}()
	}
	for pool.Counts.Dialed.Load() < 2 {
		time.Sleep(time.Millisecond)
	}
	_, err := pool.Send(context.Background(), address, post("x"), false)
	var notSent *NotSentError
	if !errors.As(err, &notSent) || !errors.Is(err, ErrTooManyConnections) {
		t.Errorf("third connection: error %v, want ErrTooManyConnections", err)
	}
	close(proceed)
	for range 2 {
		if got := <-results; got.body != "ok" || got.err != nil {
			t.Errorf("body %q, error %v", got.body, got.err)
		}
	}
	for pool.Counts.Open.Load() != 1 {
		time.Sleep(time.Millisecond)
	}
	pool.SetLimits(map[string]ConnectionLimits{})
	if open := pool.Counts.Open.Load(); open != 0 {
		t.Errorf("%d connections open to a removed address", open)
	}
}
