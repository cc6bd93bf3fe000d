package exchange

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"testing"
)

// Guards against a request that a peer reads as several, or as another one.
func TestRequestsWithinARequestAreNotWritten(t *testing.T) {
	const inner = "\r\n\r\nPOST /inner HTTP/1.1\r\nHost: inner\r\n\r\n"
	for name, change := range map[string]func(*Request){
		"line break in the target":      func(r *Request) { r.Target = "/a HTTP/1.1" + inner },
		"space in the target":           func(r *Request) { r.Target = "/a b" },
		"no target":                     func(r *Request) { r.Target = "" },
		"line break in the method":      func(r *Request) { r.Method = "POST /" + inner },
		"line break in the host":        func(r *Request) { r.Host = "host" + inner },
		"line break in a header":        func(r *Request) { r.Header.Set("X-Name", "v"+inner) },
		"line break in a header's name": func(r *Request) { r.Header["X-Name\r\nX-Other"] = []string{"v"} },
		"transfer encoding":             func(r *Request) { r.Header.Set("Transfer-Encoding", "chunked") },
		"length":                        func(r *Request) { r.Header.Set("Content-Length", "1") },
		"connection":                    func(r *Request) { r.Header.Set("Connection", "close") },
		"lower-case name":               func(r *Request) { r.Header["transfer-encoding"] = []string{"chunked"} },
		"NUL":                           func(r *Request) { r.Header.Set("X-Name", "\x00") },
	} {
		t.Run(name, func(t *testing.T) {
			pool := NewPool(nil)
			request := post("x")
			change(request)
			_, err := pool.Send(t.Context(), "127.0.0.1:1", request, false)
			var notSent *NotSentError
			var invalid *InvalidRequestError
			if !errors.As(err, &notSent) || !errors.As(err, &invalid) {
				t.Errorf("error %v, want a *NotSentError with an *InvalidRequestError", err)
			}
		})
	}
}

// A request that is written is read as exactly itself by net/http.
func FuzzWriteHead(f *testing.F) {
	f.Add("POST", "/a?b=%20", "host", "X-Name", "value", []byte("body"))
	f.Add("GET", "/\r\nX: y", "host", "Transfer-Encoding", "chunked", []byte("0\r\n\r\n"))
	f.Fuzz(func(t *testing.T, method, target, host, name, value string, body []byte) {
		request := &Request{Method: method, Target: target, Host: host, Header: http.Header{name: {value}}, Body: body}
		if request.Validate() != nil || ValidateTarget(target) != nil {
			return
		}
		var written bytes.Buffer
		writer := bufio.NewWriter(&written)
		if err := request.writeHead(writer); err != nil {
			return
		}
		writer.Write(body)
		if err := writer.Flush(); err != nil {
			t.Fatal(err)
		}
		reader := bufio.NewReader(&written)
		read, err := http.ReadRequest(reader)
		if err != nil {
			// A peer that refuses the request runs nothing.
			return
		}
		readBody, err := io.ReadAll(read.Body)
		if err != nil || read.Method != method || read.RequestURI != target || !bytes.Equal(readBody, body) && read.ContentLength != 0 {
			t.Errorf("read %s %q with %d bytes, error %v", read.Method, read.RequestURI, len(readBody), err)
		}
		if reader.Buffered() > 0 && read.ContentLength > 0 {
			t.Errorf("%d bytes after the request", reader.Buffered())
		}
	})
}
