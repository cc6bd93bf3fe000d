//go:build hostile

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

	"github.com/pathtally/pathtally/standin/rawserver"
)

const (
	// resetPlays is the number of uploads for each route and response: whether a reset is lost depends
	// on the order in which the node reads and writes.
	resetPlays = 24
	// longUpload is the size of a body that is still being written when the replica responds.
	longUpload = 1_000_000
	// brokenStamp is the stamp of the responses below. No caller may get it.
	brokenStamp = "broken"
	brokenHead  = "Pathtally-Request-Id: ID\r\nPathtally-Server-Stamp: " + brokenStamp + "\r\nPathtally-Weight-Versions: 1\r\n"
	// completeText is the body of the responses below, on streaming routes one event.
	completeText = "id: 1\ndata: text\n\n"
	// innerResponse is a complete response.
	innerResponse = "HTTP/1.1 200 OK\r\n" + brokenHead + "Content-Length: 18\r\n\r\n" + completeText
)

// liveRoutes are the paths of routes whose requests may be repeated, must not be repeated, or are
// answered by a stream that can't or can be resumed.
var liveRoutes = []string{"/live/x", "/once/x", "/chat-once/x", "/chat/x"}

// deployBrokenReplicas starts one node. All requests of callers reach a replica that reads the head
// of a request and calls respond with the id of the request.
func deployBrokenReplicas(t *testing.T, respond func(connection *net.TCPConn, id string)) (*platformDeployment, *atomic.Int64) {
	t.Helper()
	d := deployHostile(t, deploymentSpec{apps: 1})
	responses := d.addBrokenReplica(respond)
	d.store.Remove("servers", "app-0")
	d.store.Remove("servers", "engine-0")
	d.apps[0].Close()
	d.engines[0].Close()
	return d, responses
}

// addBrokenReplica adds a replica to both services, next to the other ones. It returns the number of
// requests that it responded to.
func (d *platformDeployment) addBrokenReplica(respond func(connection *net.TCPConn, id string)) *atomic.Int64 {
	d.t.Helper()
	responses := &atomic.Int64{}
	raw := &rawReplica{id: "broken", address: rawserver.Start(d.t, func(connection *net.TCPConn, request *http.Request) {
		if request.Method != http.MethodGet {
			responses.Add(1)
			respond(connection, request.Header.Get("Pathtally-Request-Id"))
		}
	})}
	d.store.Write("servers", "broken-app", raw.entry("apps", d.zone(0)))
	d.store.Write("servers", "broken-engine", raw.entry("engines", d.zone(0)))
	return responses
}

// respondText returns a function that sends a text with the id of the request in place of ID, then
// closes the connection.
func respondText(text string) func(connection *net.TCPConn, id string) {
	return func(connection *net.TCPConn, id string) {
		io.WriteString(connection, strings.ReplaceAll(text, "ID", id))
	}
}

// isReplicas reports whether a caller must take a response for a complete one of the replica.
func isReplicas(response callerResponse, err error) bool {
	return err == nil && response.header.Get("Pathtally-Server-Stamp") != ""
}

// Guards against responses without a length that a replica resets while the request is written, and
// that callers get as complete.
func TestHostileResetDuringUpload(t *testing.T) {
	for name, head := range map[string]string{
		"200":                   "HTTP/1.1 200 OK\r\n",
		"200 Connection: close": "HTTP/1.1 200 OK\r\nConnection: close\r\n",
		"HTTP 1.0":              "HTTP/1.0 200 OK\r\n",
		"500":                   "HTTP/1.1 500 Internal Server Error\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			d, responses := deployBrokenReplicas(t, func(connection *net.TCPConn, id string) {
				respondText(head+brokenHead+"\r\n"+completeText)(connection, id)
				connection.SetLinger(0)
			})
			for _, route := range liveRoutes {
				complete := 0
				for play := range resetPlays {
					id := fmt.Sprintf("reset%s.%d", strings.ReplaceAll(route, "/", "."), play)
					response, err := d.send(d.nodes[0], http.MethodPost, liveHost, route, id, bytes.Repeat([]byte("x"), longUpload), nil)
					if isReplicas(response, err) {
						complete++
					}
				}
				if complete > 0 {
					t.Errorf("%s: %d of %d responses that were reset look complete", route, complete, resetPlays)
				}
			}
			if count := responses.Load(); count < int64(len(liveRoutes)*resetPlays) {
				t.Errorf("%d requests reached the replica, so the test proves nothing", count)
			}
		})
	}
}

// A response without a length whose replica ends its side in order is complete, whether or not the
// replica keeps reading the request.
func TestHostileOrderlyEndDuringUpload(t *testing.T) {
	for name, reads := range map[string]bool{"not reading": false, "reading": true} {
		t.Run(name, func(t *testing.T) {
			ended := make(chan struct{})
			d, _ := deployBrokenReplicas(t, func(connection *net.TCPConn, id string) {
				respondText("HTTP/1.1 200 OK\r\n"+brokenHead+"\r\n"+completeText)(connection, id)
				connection.CloseWrite()
				if reads {
					io.Copy(io.Discard, connection)
				}
				<-ended
			})
			for _, route := range []string{"/live/x", "/once/x", "/chat-once/x"} {
				response, err := d.send(d.nodes[0], http.MethodPost, liveHost, route, "orderly"+strings.ReplaceAll(route, "/", "."), bytes.Repeat([]byte("x"), longUpload), nil)
				if !isReplicas(response, err) || response.status != http.StatusOK || response.body != completeText {
					t.Errorf("%s: status %d, body %q, error %v", route, response.status, response.body, err)
				}
			}
			close(ended)
		})
	}
}

// checkNotForwarded checks that callers get neither a response nor what its body holds, and that no
// item of a batch job ends with it.
func checkNotForwarded(t *testing.T, text string) {
	t.Helper()
	d, responses := deployBrokenReplicas(t, respondText(text))
	for _, route := range liveRoutes {
		response, err := d.send(d.nodes[0], http.MethodPost, liveHost, route, "head"+strings.ReplaceAll(route, "/", "."), []byte("x"), nil)
		if isReplicas(response, err) || err == nil && response.status < http.StatusInternalServerError {
			t.Errorf("%s: status %d, headers %v, body %q", route, response.status, response.header, response.body)
		}
	}
	if count := responses.Load(); count < int64(len(liveRoutes)) {
		t.Errorf("%d requests reached the replica, so the test proves nothing", count)
	}
}

// checkNotUsed checks that no item of a batch job ends with a response to it or to the call of its
// scorer.
func checkNotUsed(t *testing.T, text string) {
	t.Helper()
	const job, items = "broken-heads", 16
	d := deployHostile(t, deploymentSpec{apps: 1})
	responses := d.addBrokenReplica(respondText(text))
	d.submit(d.nodes[0], job, items, 1)
	for _, result := range d.read(func() *platformNode { return d.nodes[0] }, job, items) {
		if result.Score == brokenStamp || strings.HasPrefix(result.Message, "text") {
			t.Errorf("item %s ended with a broken response: %+v", result.ID, result)
		}
	}
	if responses.Load() == 0 {
		t.Error("no request reached the replica, so the test proves nothing")
	}
}

// Guards against a response whose status is none, or that switches protocols without having been asked,
// and against taking what follows its head for the response.
func TestHostileInvalidStatus(t *testing.T) {
	for _, status := range []string{"000", "050", "099", "+20", "-00", "101"} {
		head := "HTTP/1.1 " + status + " Trouble\r\n"
		for name, text := range map[string]string{
			"alone":            head + brokenHead + "Content-Length: 18\r\n\r\n" + completeText,
			"until the close":  head + brokenHead + "\r\n" + completeText,
			"holds a response": head + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(innerResponse)) + innerResponse,
		} {
			t.Run(status+" "+name, func(t *testing.T) { checkNotForwarded(t, text) })
		}
	}
	t.Run("batch job", func(t *testing.T) { checkNotUsed(t, "HTTP/1.1 000 Trouble\r\n\r\n"+innerResponse) })
}

// Guards against a response whose head has an invalid field name: a field that a parser drops may be
// the one that says where the body ends.
func TestHostileInvalidFieldName(t *testing.T) {
	const start = "HTTP/1.1 200 OK\r\n" + brokenHead
	for name, text := range map[string]string{
		"blank in the name":       start + "X Name: value\r\nContent-Length: 18\r\n\r\n" + completeText,
		"blank after the name":    start + "X-Name : value\r\nContent-Length: 18\r\n\r\n" + completeText,
		"tab after the name":      start + "X-Name\t: value\r\nContent-Length: 18\r\n\r\n" + completeText,
		"control byte":            start + "X\x01Name: value\r\nContent-Length: 18\r\n\r\n" + completeText,
		"NUL":                     start + "X\x00Name: value\r\nContent-Length: 18\r\n\r\n" + completeText,
		"delete":                  start + "X\x7fName: value\r\nContent-Length: 18\r\n\r\n" + completeText,
		"separator":               start + "X(Name: value\r\nContent-Length: 18\r\n\r\n" + completeText,
		"no name":                 start + ": value\r\nContent-Length: 18\r\n\r\n" + completeText,
		"length":                  start + "Content-Length : 18\r\n\r\n" + completeText + "surplus",
		"chunks":                  start + "Transfer-Encoding : chunked\r\n\r\n12\r\n" + completeText + "\r\n0\r\n\r\n",
		"informational response":  "HTTP/1.1 103 Early Hints\r\nX Name: value\r\n\r\n" + innerResponse,
		"first line of the head":  "HTTP/1.1 200 OK\r\nX Name: value\r\n" + brokenHead + "Content-Length: 18\r\n\r\n" + completeText,
		"an error of the replica": "HTTP/1.1 500 Internal Server Error\r\nX Name: value\r\n" + brokenHead + "Content-Length: 18\r\n\r\n" + completeText,
	} {
		t.Run(name, func(t *testing.T) { checkNotForwarded(t, text) })
	}
	t.Run("batch job", func(t *testing.T) { checkNotUsed(t, start+"X Name: value\r\nContent-Length: 18\r\n\r\n"+completeText) })
}
