package test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// truncatedHead is the head of a response whose id is still to be set.
const truncatedHead = "HTTP/1.1 200 OK\r\nPathtally-Request-Id: ID\r\nPathtally-Server-Stamp: cut\r\nPathtally-Weight-Versions: 1\r\n"

// truncatedResponses are complete responses. Each is cut off after any number of bytes.
var truncatedResponses = []struct {
	name, head, body string
	// unframed is set if the response ends when its connection is closed.
	unframed bool
}{
	{"length", truncatedHead + "Content-Length: 24\r\n\r\n", "id: 1\ndata: one and more", false},
	{"chunks", truncatedHead + "Transfer-Encoding: chunked\r\n\r\n", "8\r\nid: 1\nda\r\n8\r\nta: one\n\r\n1\r\n\n\r\n0\r\n\r\n", false},
	{"until the close", truncatedHead + "\r\n", "id: 1\ndata: one\n\nid: 2\ndata: two\n\n", true},
}

// isWhole reports whether a caller must take a response for whole: it is framed and was read to its
// end.
func isWhole(response *http.Response, err error) bool {
	return err == nil && (response.ContentLength >= 0 || len(response.TransferEncoding) > 0)
}

// Guards against responses that a replica broke off and that callers get as whole.
func TestTruncatedResponseIsNotFramedAsWhole(t *testing.T) {
	for _, test := range truncatedResponses {
		for _, route := range []string{"/live/x", "/once/x", "/chat-once/x"} {
			t.Run(test.name+route, func(t *testing.T) {
				t.Parallel()
				d := deployPlatform(t, deploymentSpec{nodes: 1, engines: 1, apps: 1, eventInterval: time.Millisecond})
				whole := test.head + test.body
				var length, answered atomic.Int64
				raw := startRawReplica(t, "cut", func(connection net.Conn, request *http.Request) bool {
					if request.Method == http.MethodGet {
						return false
					}
					answered.Add(1)
					text := strings.Replace(whole[:length.Load()], "ID", request.Header.Get("Pathtally-Request-Id"), 1)
					io.WriteString(connection, text)
					return false
				})
				d.store.Write("servers", "cut-app", raw.entry("apps", d.zone(0)))
				d.store.Write("servers", "cut-engine", raw.entry("engines", d.zone(0)))
				d.store.Remove("servers", "app-0")
				d.store.Remove("servers", "engine-0")
				d.apps[0].Close()
				d.engines[0].Close()
				for cut := range whole {
					length.Store(int64(cut))
					id := fmt.Sprintf("cut.%d", cut)
					request, err := http.NewRequest(http.MethodPost, "http://"+d.nodes[0].http+route, bytes.NewReader([]byte("x")))
					if err != nil {
						t.Fatal(err)
					}
					request.Host, request.Close = liveHost, true
					request.Header.Set("Pathtally-Request-Id", id)
					request.Header.Set("Pathtally-Deadline-Ms", "1000")
					response, err := http.DefaultClient.Do(request)
					if err != nil {
						continue
					}
					body, err := io.ReadAll(response.Body)
					response.Body.Close()
					if response.StatusCode == http.StatusOK && isWhole(response, err) {
						t.Errorf("cut after %d bytes: status 200, framed as whole, body %q", cut, body)
					}
					if response.StatusCode == http.StatusOK && cut < len(test.head) {
						t.Errorf("cut after %d bytes of the head: status 200, body %q", cut, body)
					}
				}
				if answered.Load() == 0 {
					t.Error("no request reached the replica, so the test proves nothing")
				}
				if test.unframed {
					length.Store(int64(len(whole)))
					response, err := d.send(d.nodes[0], http.MethodPost, liveHost, route, "whole", []byte("x"), nil)
					if err != nil || response.status != http.StatusOK || response.body != test.body {
						t.Errorf("whole response: %+v, error %v", response, err)
					}
				}
			})
		}
	}
}
