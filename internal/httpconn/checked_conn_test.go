package httpconn

import (
	"errors"
	"io"
	"net"
	"os"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/pathtally/pathtally/standin/rawserver"
)

// scriptedConn receives a text and accepts what is written.
type scriptedConn struct {
	net.Conn
	received io.Reader
}

func (c *scriptedConn) Read(buffer []byte) (int, error) { return c.received.Read(buffer) }

func (c *scriptedConn) Write(buffer []byte) (int, error) { return len(buffer), nil }

// receive writes a request and returns what is read in response.
func receive(received io.Reader) (string, error) {
	conn := &checkedConn{Conn: &scriptedConn{received: received}}
	if _, err := io.WriteString(conn, "request"); err != nil {
		return "", err
	}
	read, err := io.ReadAll(conn)
	return string(read), err
}

// What is received is read unchanged, however it is divided into reads.
func TestValidResponseIsUnchanged(t *testing.T) {
	for _, text := range []string{
		validResponse,
		"HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" + validResponse,
		"HTTP/1.1 200 OK\r\n\r\n" + strings.Repeat("body\r\n\r\nHTTP/1.1 000 \r\n", 1000),
	} {
		for name, reader := range map[string]io.Reader{"at once": strings.NewReader(text), "by bytes": iotest.OneByteReader(strings.NewReader(text))} {
			if read, err := receive(reader); read != text || err != nil {
				t.Errorf("%s: read %d bytes of %d, error %v", name, len(read), len(text), err)
			}
		}
	}
}

func TestInvalidResponseIsAnError(t *testing.T) {
	read, err := receive(strings.NewReader("HTTP/1.1 000 Trouble\r\n\r\n" + validResponse))
	var invalid *InvalidStatusError
	if read != "H" || !errors.As(err, &invalid) {
		t.Errorf("read %q, error %v, want an *InvalidStatusError", read, err)
	}
}

// The head of each response is checked, and what follows a response belongs to the next head.
func TestEachHeadIsChecked(t *testing.T) {
	conn := &checkedConn{Conn: &scriptedConn{received: strings.NewReader(validResponse + "HTTP/1.1 000 Trouble\r\n\r\n")}}
	io.WriteString(conn, "request")
	if _, err := io.ReadFull(conn, make([]byte, len(validResponse))); err != nil {
		t.Fatal(err)
	}
	io.WriteString(conn, "request")
	var invalid *InvalidStatusError
	if _, err := io.ReadAll(conn); !errors.As(err, &invalid) {
		t.Errorf("second response: error %v, want an *InvalidStatusError", err)
	}
}

// A connection that ends or fails before a response does so for its client, too.
func TestEndWithoutResponseIsUnchanged(t *testing.T) {
	conn := &checkedConn{Conn: &scriptedConn{received: strings.NewReader("")}}
	io.WriteString(conn, "request")
	if _, err := conn.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("error %v, want %v", err, io.EOF)
	}
	if _, err := receive(iotest.ErrReader(os.ErrDeadlineExceeded)); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("error %v, want %v", err, os.ErrDeadlineExceeded)
	}
}

// Guards against keeping a head without end in memory.
func TestEndlessHeadIsAnError(t *testing.T) {
	head := strings.NewReader("HTTP/1.1 200 OK\r\n" + strings.Repeat("Name: value\r\n", maxHeadBytes))
	if _, err := receive(head); err == nil {
		t.Error("no error")
	}
	if received := head.Size() - int64(head.Len()); received > 2*maxHeadBytes {
		t.Errorf("%d bytes were received", received)
	}
}

// fasthttp reports why a head is invalid, and not that the server has closed an idle connection.
func TestClientReportsInvalidHead(t *testing.T) {
	address := rawserver.Start(t, rawserver.Text("HTTP/1.1 000 Trouble\r\nContent-Length: 0\r\n\r\n"))
	client := &fasthttp.Client{Dial: Dial(func(address string) (net.Conn, error) { return net.Dial("tcp", address) })}
	_, _, err := client.GetTimeout(nil, "http://"+address+"/", time.Minute)
	var invalid *InvalidStatusError
	if !errors.As(err, &invalid) {
		t.Errorf("error %v, want an *InvalidStatusError", err)
	}
}
