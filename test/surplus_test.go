package test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	// surplusReplicas is the number of replicas that turn requests away, and surplusRequests the
	// number of requests on each route.
	surplusReplicas = 3
	surplusRequests = 40
	// warmRequests is the number of requests that are served between two of them.
	warmRequests = 4
)

// surplusRecord is what the replicas of a test keep together.
type surplusRecord struct {
	mutex sync.Mutex
	// turnedAway are the requests that a replica has turned away, by replica and id, and runs
	// the number of runs by id.
	turnedAway map[string]bool
	runs       map[string]int
	// repeated is the number of responses that were sent twice, reused that of requests on a
	// connection that carried another one before.
	repeated, reused int
}

// admit reports whether a replica runs a request: it turns each one away when it first arrives, but
// for those that only warm up connections.
func (r *surplusRecord) admit(replica, id string) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if strings.HasPrefix(id, "warm") {
		return true
	}
	if key := replica + " " + id; !r.turnedAway[key] {
		r.turnedAway[key] = true
		return false
	}
	r.runs[id]++
	return true
}

// startSurplusReplica starts a replica that sends each rejection, which has the given status, twice:
// the second time in the place of the next response on the connection.
func (d *platformDeployment) startSurplusReplica(id string, status int, record *surplusRecord) {
	var mutex sync.Mutex
	surplus, used := map[net.Conn]string{}, map[net.Conn]bool{}
	raw := startRawReplica(d.t, id, func(connection net.Conn, request *http.Request) bool {
		if request.Method == http.MethodGet {
			// The node reads the status of the weights.
			return false
		}
		requestID := request.Header.Get("Pathtally-Request-Id")
		mutex.Lock()
		pending, reused := surplus[connection], used[connection]
		delete(surplus, connection)
		used[connection] = true
		mutex.Unlock()
		if reused {
			record.mutex.Lock()
			record.reused++
			record.mutex.Unlock()
		}
		if pending != "" {
			record.mutex.Lock()
			record.repeated++
			record.mutex.Unlock()
			io.WriteString(connection, pending)
		}
		if !record.admit(id, requestID) {
			rejection := fmt.Sprintf("HTTP/1.1 %d Rejected\r\nPathtally-Request-Id: %s\r\nPathtally-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", status, requestID)
			io.WriteString(connection, rejection)
			mutex.Lock()
			surplus[connection] = rejection
			mutex.Unlock()
			return true
		}
		event := fmt.Sprintf("id: 1\ndata: %s\n\n", requestID)
		fmt.Fprintf(connection, "HTTP/1.1 200 OK\r\nPathtally-Request-Id: %s\r\nPathtally-Server-Stamp: %s\r\nPathtally-Weight-Versions: 1\r\nContent-Length: %d\r\n\r\n%s", requestID, id, len(event), event)
		return true
	})
	for _, service := range []string{"apps", "engines"} {
		entry := raw.entry(service, d.zone(0))
		entry["slots"] = 4
		d.store.Write("servers", id+"-"+service, entry)
	}
}

// Guards against a request that runs twice, or after its caller got a 503, because a surplus
// response to its first send was taken for the response to its second one.
func TestSurplusRejectionIsNotTakenForTheNextSend(t *testing.T) {
	for _, test := range []struct {
		route string
		// status is that of the rejections. After a 503 the service of an unsafe request counts
		// as overloaded, and the request is not sent again.
		status int
	}{{"/once/x", http.StatusTooManyRequests}, {"/chat-once/x", http.StatusServiceUnavailable}} {
		t.Run(test.route, func(t *testing.T) {
			route := test.route
			d := deployPlatform(t, deploymentSpec{nodes: 1, engines: 1, apps: 1, eventInterval: 1})
			record := &surplusRecord{turnedAway: map[string]bool{}, runs: map[string]int{}}
			for number := range surplusReplicas {
				d.startSurplusReplica(fmt.Sprintf("surplus-%d", number), test.status, record)
			}
			d.store.Remove("servers", "app-0")
			d.store.Remove("servers", "engine-0")
			// Nodes keep no connections to new replicas.
			d.eventually("connections to be kept", func() bool {
				d.send(d.nodes[0], http.MethodPost, liveHost, route, fmt.Sprintf("warm.%d", time.Now().UnixNano()), []byte("x"), nil)
				record.mutex.Lock()
				defer record.mutex.Unlock()
				return record.reused > 0
			})
			served := 0
			for number := range surplusRequests {
				// Requests that are served keep the service from counting as overloaded.
				for warm := range warmRequests {
					d.send(d.nodes[0], http.MethodPost, liveHost, route, fmt.Sprintf("warm.%d.%d", number, warm), []byte("x"), nil)
				}
				id := fmt.Sprintf("surplus.%d", number)
				response, err := d.send(d.nodes[0], http.MethodPost, liveHost, route, id, []byte("x"), nil)
				record.mutex.Lock()
				runs := record.runs[id]
				record.mutex.Unlock()
				if runs > 1 {
					t.Errorf("request %s ran %d times", id, runs)
				}
				if err == nil && response.status == http.StatusServiceUnavailable && runs > 0 {
					t.Errorf("request %s got status 503 and ran", id)
				}
				if err == nil && response.status == http.StatusOK {
					served++
				}
			}
			if served == 0 || record.repeated == 0 {
				t.Errorf("%d requests served, %d responses repeated: want some of each, or the test proves nothing", served, record.repeated)
			}
			t.Logf("%d of %d requests served, %d responses repeated", served, surplusRequests, record.repeated)
			if t.Failed() {
				d.nodes[0].mutex.Lock()
				t.Log(d.nodes[0].log.String())
				d.nodes[0].mutex.Unlock()
			}
		})
	}
}
