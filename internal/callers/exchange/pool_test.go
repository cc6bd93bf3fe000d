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

// script starts a server that handles each connection with the next of the functions, and
// returns its address.
func script(t *testing.T, answers ...func(connection net.Conn, requests *bufio.Reader)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for _, answer := range answers {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer connection.Close()
				answer(connection, bufio.NewReader(connection))
			}()
		}
	}()
	return listener.Addr().String()
}

// receive reads one request and its body.
func receive(requests *bufio.Reader) (*http.Request, string, error) {
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

// exchangeOnce sends a request and returns the complete response body.
func exchangeOnce(pool *Pool, address string, request *Request) (string, error) {
	response, err := pool.Send(context.Background(), address, request, false)
	if err != nil {
		return "", err
	}
	defer response.Close()
	body, err := io.ReadAll(response)
	return string(body), err
}

const whole = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

func TestRequestArrivesUnchanged(t *testing.T) {
	seen := make(chan *http.Request, 1)
	address := script(t, func(connection net.Conn, requests *bufio.Reader) {
		request, body, _ := receive(requests)
		request.Header.Set("Body", body)
		seen <- request
		io.WriteString(connection, whole)
	})
	if body, err := exchangeOnce(NewPool(nil), address, post("hello")); body != "ok" || err != nil {
		t.Fatalf("%q, %v", body, err)
	}
	request := <-seen
	if request.RequestURI != "/a%2Fb?c=%20d" || request.Host != "host.example" || request.Header.Get("Body") != "hello" || request.Header.Get("X-Name") != "v" {
		t.Errorf("request arrived as %s for %s with %v", request.RequestURI, request.Host, request.Header)
	}
	for _, added := range []string{"User-Agent", "Accept-Encoding"} {
		if request.Header.Get(added) != "" {
			t.Errorf("header %s was added", added)
		}
	}
}

func TestSoundConnectionIsKept(t *testing.T) {
	address := script(t, func(connection net.Conn, requests *bufio.Reader) {
		for range 3 {
			if _, _, err := receive(requests); err != nil {
				return
			}
			io.WriteString(connection, whole)
		}
	})
	pool := NewPool(nil)
	for range 3 {
		if _, err := exchangeOnce(pool, address, post("x")); err != nil {
			t.Fatal(err)
		}
	}
	if dialed := pool.Counts.Dialed.Load(); dialed != 1 {
		t.Errorf("%d connections were opened", dialed)
	}
}

// Guards against reading the response of another request from a reused connection.
func TestUnusableConnectionIsNotUsedAgain(t *testing.T) {
	second := func(connection net.Conn, requests *bufio.Reader) {
		receive(requests)
		io.WriteString(connection, "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nsecond")
	}
	for _, test := range []struct {
		name  string
		first func(connection net.Conn, requests *bufio.Reader)
	}{
		{"surplus bytes", func(connection net.Conn, requests *bufio.Reader) {
			receive(requests)
			io.WriteString(connection, whole+whole)
			receive(requests)
		}},
		{"surplus bytes later", func(connection net.Conn, requests *bufio.Reader) {
			receive(requests)
			io.WriteString(connection, whole)
			time.Sleep(20 * time.Millisecond)
			io.WriteString(connection, whole)
			receive(requests)
		}},
		{"closed while it rested", func(connection net.Conn, requests *bufio.Reader) {
			receive(requests)
			io.WriteString(connection, whole)
		}},
		{"close announced", func(connection net.Conn, requests *bufio.Reader) {
			receive(requests)
			io.WriteString(connection, strings.Replace(whole, "\r\n\r\n", "\r\nConnection: close\r\n\r\n", 1))
			receive(requests)
		}},
		{"no length", func(connection net.Conn, requests *bufio.Reader) {
			receive(requests)
			io.WriteString(connection, "HTTP/1.1 200 OK\r\n\r\nok")
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			address := script(t, test.first, second)
			pool := NewPool(nil)
			if body, err := exchangeOnce(pool, address, post("x")); body != "ok" || err != nil {
				t.Fatalf("first answer %q, %v", body, err)
			}
			time.Sleep(60 * time.Millisecond)
			if body, err := exchangeOnce(pool, address, post("x")); body != "second" || err != nil {
				t.Errorf("second answer %q, %v", body, err)
			}
		})
	}
}

func TestAnswerToAnUnfinishedRequestEndsItsConnection(t *testing.T) {
	released := make(chan struct{})
	address := script(t, func(connection net.Conn, requests *bufio.Reader) {
		http.ReadRequest(requests)
		io.WriteString(connection, whole)
		<-released
		// Only the rest of the body or EOF may follow.
		rest, _ := io.ReadAll(requests)
		if strings.Contains(string(rest), "POST") {
			t.Error("another request followed an unfinished body")
		}
	}, func(connection net.Conn, requests *bufio.Reader) {
		receive(requests)
		io.WriteString(connection, whole)
	})
	pool := NewPool(nil)
	for range 2 {
		if body, err := exchangeOnce(pool, address, post(strings.Repeat("x", 8<<20))); body != "ok" || err != nil {
			t.Errorf("%q, %v", body, err)
		}
	}
	close(released)
	if dialed := pool.Counts.Dialed.Load(); dialed != 2 {
		t.Errorf("%d connections were opened, want 2", dialed)
	}
}

func TestCutAnswersAreNotWhole(t *testing.T) {
	for _, test := range []struct{ name, answer string }{
		{"in the body", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok"},
		{"in a chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab"},
		{"before the last chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n"},
		{"in the head", "HTTP/1.1 200 OK\r\nContent-"},
		{"before the head", ""},
		{"no HTTP", "\x16\x03nonsense\r\n\r\n"},
	} {
		t.Run(test.name, func(t *testing.T) {
			address := script(t, func(connection net.Conn, requests *bufio.Reader) {
				receive(requests)
				io.WriteString(connection, test.answer)
			})
			body, err := exchangeOnce(NewPool(nil), address, post("x"))
			var broken *BrokenError
			if !errors.As(err, &broken) {
				t.Errorf("%q, %v: want a broken exchange", body, err)
			}
		})
	}
}

func TestRequestThatFoundNobodyWasNotSent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listener.Close()
	_, err = exchangeOnce(NewPool(nil), listener.Addr().String(), post("x"))
	var notSent *NotSentError
	if !errors.As(err, &notSent) {
		t.Errorf("%v: want a request that was not sent", err)
	}
}

func TestCallerThatLeavesEndsTheConnection(t *testing.T) {
	closed := make(chan struct{})
	received := make(chan struct{})
	address := script(t, func(_ net.Conn, requests *bufio.Reader) {
		receive(requests)
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
		t.Errorf("ended with %v", err)
	}
	<-closed
}

func TestKeepAliveTime(t *testing.T) {
	for _, test := range []struct {
		header string
		want   time.Duration
		named  bool
	}{{"timeout=5, max=10", 5 * time.Second, true}, {"max=10, Timeout = 7", 7 * time.Second, true}, {"", 0, false}, {"timeout=x", 0, false}} {
		got, named := keepAliveTime(http.Header{"Keep-Alive": {test.header}})
		if got != test.want || named != test.named {
			t.Errorf("%q: %s, %v", test.header, got, named)
		}
	}
}

// Guards against unlimited connections to a replica and idle ones to removed replicas.
func TestBoundsHoldForOpenAndRestingConnections(t *testing.T) {
	held := make(chan struct{})
	answer := func(connection net.Conn, requests *bufio.Reader) {
		for {
			if _, _, err := receive(requests); err != nil {
				return
			}
			<-held
			io.WriteString(connection, whole)
		}
	}
	address := script(t, answer, answer, answer)
	pool := NewPool(nil)
	pool.SetLimits(map[string]ConnectionLimits{address: {Open: 2, Idle: 1}})
	type ended struct {
		body string
		err  error
	}
	results := make(chan ended, 2)
	for range 2 {
		go func() {
			body, err := exchangeOnce(pool, address, post("x"))
			results <- ended{body, err}
		}()
	}
	for pool.Counts.Dialed.Load() < 2 {
		time.Sleep(time.Millisecond)
	}
	_, err := pool.Send(context.Background(), address, post("x"), false)
	var notSent *NotSentError
	if !errors.As(err, &notSent) || !errors.Is(err, ErrTooManyConnections) {
		t.Errorf("a third connection: %v", err)
	}
	close(held)
	for range 2 {
		if got := <-results; got.body != "ok" || got.err != nil {
			t.Errorf("%q, %v", got.body, got.err)
		}
	}
	for pool.Counts.Open.Load() != 1 {
		time.Sleep(time.Millisecond)
	}
	pool.SetLimits(map[string]ConnectionLimits{})
	if open := pool.Counts.Open.Load(); open != 0 {
		t.Errorf("%d connections rest for an address that is gone", open)
	}
}
