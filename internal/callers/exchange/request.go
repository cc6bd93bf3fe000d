package exchange

import (
	"bufio"
	"net/http"
	"strconv"
)

// Request is an HTTP request.
type Request struct {
	Method string
	// Target is the request target (path and query), sent unchanged.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// Identity is what tells the response apart from that to another request. A replica may
	// repeat a response later on the same connection, so no connection carries two requests with
	// the same identity. Empty if nothing tells it apart: then a request that must not run twice
	// is sent on a connection that has carried no other request without identity.
	Identity string
	// Purpose labels the metrics; empty means PurposeLive.
	Purpose Purpose
}

// writeHead writes the request line and headers.
func (r *Request) writeHead(writer *bufio.Writer) error {
	writer.WriteString(r.Method)
	writer.WriteByte(' ')
	writer.WriteString(r.Target)
	writer.WriteString(" HTTP/1.1\r\nHost: ")
	writer.WriteString(r.Host)
	writer.WriteString("\r\n")
	if err := r.Header.Write(writer); err != nil {
		return err
	}
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		writer.WriteString("Content-Length: ")
		writer.WriteString(strconv.Itoa(len(r.Body)))
		writer.WriteString("\r\n")
	}
	_, err := writer.WriteString("\r\n")
	return err
}
