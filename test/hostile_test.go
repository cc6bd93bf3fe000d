//go:build hostile

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

	"github.com/pathtally/pathtally/standin/replica"
)

// Each test sends what the node does not expect, on many connections, to a node with the limits
// below. Checks do not depend on the speed of the machine. Run one test at a time:
//
//	go test -tags hostile -run '^TestHostile' -count 1 ./test
const (
	// hostileMemoryMB is the memory of the node's settings, which bounds the resident memory.
	hostileMemoryMB = 96
	// hostileDescriptors is the limit on the descriptors of the node, of which it must leave
	// reservedDescriptors for replicas, the store and other nodes.
	hostileDescriptors  = 600
	reservedDescriptors = 100
	// idleCrowd is the number of connections of callers that only wait, and activeCrowd that of
	// callers that send or receive large amounts.
	idleCrowd   = 1000
	activeCrowd = 200
	// replicaCrowd is the number of requests in progress at a replica that sends without end.
	replicaCrowd = 40
	// endlessBytes bounds what one caller sends if the node keeps reading.
	endlessBytes = 4 << 20
	// headBytes is slightly less than the largest head that the node reads.
	headBytes = 63 << 10
	// bodyBytes is the size of large bodies; the configuration allows twice as much.
	bodyBytes = 512 << 10
	// settleTime is how long a crowd is held before the node is checked.
	settleTime = 3 * time.Second
	// slowServiceTime keeps requests in progress while the node is checked. It is below the
	// time-out of the routes, so that an ordinary request can be answered.
	slowServiceTime = 4 * time.Second
)

func deployHostile(t *testing.T, spec deploymentSpec) *platformDeployment {
	t.Helper()
	spec.nodes, spec.engines, spec.eventInterval = 1, 1, time.Millisecond
	spec.memoryMB = hostileMemoryMB
	if spec.maxDescriptors == 0 {
		spec.maxDescriptors = 4100
	}
	return deployPlatform(t, spec)
}

// crowd is a set of connections that are kept open.
type crowd struct {
	mutex       sync.Mutex
	connections []net.Conn
}

// openCrowd opens connections and calls send for each. It returns after settleTime.
func openCrowd(t *testing.T, address string, size int, send func(connection net.Conn, number int)) *crowd {
	t.Helper()
	opened := &crowd{}
	t.Cleanup(opened.close)
	for number := range size {
		go func() {
			connection, err := net.DialTimeout("tcp", address, waitTimeout)
			if err != nil {
				return
			}
			opened.mutex.Lock()
			opened.connections = append(opened.connections, connection)
			opened.mutex.Unlock()
			send(connection, number)
		}()
	}
	time.Sleep(settleTime)
	return opened
}

func (c *crowd) close() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, connection := range c.connections {
		connection.Close()
	}
}

// checkNode checks a node while a crowd holds its connections, and once more after it has left.
func (d *platformDeployment) checkNode(node *platformNode, held *crowd) {
	d.t.Helper()
	d.checkResources(node, hostileMemoryMB)
	d.checkAnswers(node, "beside the crowd")
	d.checkResources(node, hostileMemoryMB)
	held.close()
	d.checkAnswers(node, "after the crowd")
	d.checkResources(node, hostileMemoryMB)
}

// checkAnswers checks that one ordinary request is answered. It is sent again if it is refused.
func (d *platformDeployment) checkAnswers(node *platformNode, when string) {
	d.t.Helper()
	number := 0
	d.eventually("an ordinary request to be answered "+when, func() bool {
		number++
		id := fmt.Sprintf("ordinary.%d.%s", number, strings.ReplaceAll(when, " ", "-"))
		response, err := d.send(node, http.MethodPost, liveHost, "/live/x", id, []byte("x"), nil)
		return err == nil && response.status == http.StatusOK && strings.HasPrefix(response.body, "answer to "+id+": x")
	})
}

// checkResources checks that a node has not ended, its peak memory, and its open descriptors.
func (d *platformDeployment) checkResources(node *platformNode, memoryMB int) {
	d.t.Helper()
	select {
	case <-node.exited:
		d.t.Fatal("the node has ended")
	default:
	}
	if peak := node.peakMemoryMB(); peak > memoryMB {
		d.t.Errorf("peak memory %d MB, limit %d MB", peak, memoryMB)
	}
	if open := node.openDescriptors(); open > node.maxDescriptors-reservedDescriptors {
		d.t.Errorf("%d open descriptors of %d, %d reserved", open, node.maxDescriptors, reservedDescriptors)
	}
}

// sendEndlessly sends a text repeatedly until the connection fails or endlessBytes are sent.
func sendEndlessly(connection net.Conn, text string) {
	block := strings.Repeat(text, max(1, 4096/len(text)))
	for sent := 0; sent < endlessBytes; sent += len(block) {
		if _, err := io.WriteString(connection, block); err != nil {
			return
		}
	}
}

const requestLine = "POST /live/x HTTP/1.1\r\nHost: " + liveHost + "\r\n"

// Guards against memory that grows with the number of callers whose heads are incomplete.
func TestHostileIncompleteHeads(t *testing.T) {
	d := deployHostile(t, deploymentSpec{apps: 1})
	held := openCrowd(t, d.nodes[0].http, idleCrowd, func(connection net.Conn, _ int) {
		io.WriteString(connection, requestLine+"X-Fill: "+strings.Repeat("x", headBytes))
	})
	d.checkNode(d.nodes[0], held)
}

// Guards against heads that take far more memory once parsed than on the wire.
func TestHostileHeadsOfShortLines(t *testing.T) {
	d := deployHostile(t, deploymentSpec{apps: 1, appServiceTime: slowServiceTime})
	held := openCrowd(t, d.nodes[0].http, activeCrowd, func(connection net.Conn, number int) {
		var lines strings.Builder
		for line := 0; lines.Len() < headBytes; line++ {
			fmt.Fprintf(&lines, "%x:\r\n", line)
		}
		fmt.Fprintf(connection, "%sPathtally-Request-Id: short.%d\r\nContent-Length: 0\r\n%s\r\n", requestLine, number, lines.String())
	})
	d.checkNode(d.nodes[0], held)
}

// Guards against memory that grows with the length of a head.
func TestHostileHeadsWithoutEnd(t *testing.T) {
	d := deployHostile(t, deploymentSpec{apps: 1})
	held := openCrowd(t, d.nodes[0].http, activeCrowd, func(connection net.Conn, _ int) {
		io.WriteString(connection, requestLine)
		sendEndlessly(connection, "X-Name: value\r\n")
	})
	d.checkNode(d.nodes[0], held)
}

// Guards against memory that grows with the empty lines before a request.
func TestHostileEmptyLinesWithoutEnd(t *testing.T) {
	d := deployHostile(t, deploymentSpec{apps: 1})
	held := openCrowd(t, d.nodes[0].http, activeCrowd, func(connection net.Conn, _ int) { sendEndlessly(connection, "\r\n") })
	d.checkNode(d.nodes[0], held)
}

// Guards against idle connections that take all descriptors.
func TestHostileIdleConnections(t *testing.T) {
	for _, test := range []struct {
		name    string
		address func(node *platformNode) string
		// first is what each connection sends before it is idle.
		first string
	}{
		{"callers", func(node *platformNode) string { return node.http }, "GET /nowhere HTTP/1.1\r\nHost: " + liveHost + "\r\n\r\n"},
		{"readiness", func(node *platformNode) string { return node.readiness }, "GET /-/readyz HTTP/1.1\r\nHost: node\r\n\r\n"},
		{"metrics", func(node *platformNode) string { return node.metrics }, "GET /nowhere HTTP/1.1\r\nHost: node\r\n\r\n"},
		{"peers", func(node *platformNode) string { return node.peer }, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			d := deployHostile(t, deploymentSpec{apps: 1, maxDescriptors: hostileDescriptors})
			held := openCrowd(t, test.address(d.nodes[0]), idleCrowd, func(connection net.Conn, _ int) { io.WriteString(connection, test.first) })
			d.checkNode(d.nodes[0], held)
			d.waitReady(d.nodes[0])
		})
	}
}

// Guards against bodies that are never completed and keep the memory for all bodies.
func TestHostileIncompleteBodies(t *testing.T) {
	d := deployHostile(t, deploymentSpec{apps: 1})
	held := openCrowd(t, d.nodes[0].http, activeCrowd, func(connection net.Conn, number int) {
		fmt.Fprintf(connection, "%sPathtally-Request-Id: body.%d\r\nContent-Length: %d\r\n\r\n%s", requestLine, number, 2*bodyBytes, strings.Repeat("x", bodyBytes))
	})
	d.checkNode(d.nodes[0], held)
}

// Guards against responses that are kept for callers that do not read them.
func TestHostileResponsesNotRead(t *testing.T) {
	d := deployHostile(t, deploymentSpec{apps: 1})
	large, err := replica.Start(replica.Config{ID: "large", Slots: activeCrowd, ResponseBytes: bodyBytes})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(large.Close)
	d.store.Write("servers", "large", large.Entry("apps", d.zone(0)))
	d.store.Remove("servers", "app-0")
	held := openCrowd(t, d.nodes[0].http, activeCrowd, func(connection net.Conn, number int) {
		for request := range 8 {
			fmt.Fprintf(connection, "%sPathtally-Request-Id: unread.%d.%d\r\nContent-Length: 0\r\n\r\n", requestLine, number, request)
		}
	})
	d.checkNode(d.nodes[0], held)
}

// Guards against memory that is allocated for frames of other nodes before they arrive.
func TestHostileFramesOfPeers(t *testing.T) {
	d := deployHostile(t, deploymentSpec{apps: 1})
	held := openCrowd(t, d.nodes[0].peer, activeCrowd, func(connection net.Conn, _ int) {
		connection.Write([]byte{0, 0xff, 0xff, 0xff})
		sendEndlessly(connection, "x")
	})
	d.checkNode(d.nodes[0], held)
}

// endlessReplica is a replica whose response to each request never ends.
func (d *platformDeployment) endlessReplica(head, text string) {
	raw := startRawReplica(d.t, "endless", func(connection net.Conn, request *http.Request) bool {
		io.WriteString(connection, strings.ReplaceAll(head, "ID", request.Header.Get("Pathtally-Request-Id")))
		block := strings.Repeat(text, 64<<10/len(text))
		for {
			if _, err := io.WriteString(connection, block); err != nil {
				return false
			}
		}
	})
	d.store.Write("servers", raw.id, raw.entry("apps", d.zone(0)))
	d.store.Write("servers", "endless-engine", raw.entry("engines", d.zone(0)))
}

// endlessResponses are the head of a response and the text that follows it without end.
var endlessResponses = []struct{ name, head, text string }{
	{"head", "HTTP/1.1 200 OK\r\n", "X-Name: value\r\n"},
	{"line of a head", "HTTP/1.1 200 OK\r\nX-Name: ", "value"},
	{"informational responses", "", "HTTP/1.1 100 Continue\r\n\r\n"},
	{"body of a declared length", signedHead + "Content-Length: 9000000000000000000\r\n\r\n", "body"},
	{"body until the close", signedHead + "\r\n", "body"},
	{"chunks", signedHead + "Transfer-Encoding: chunked\r\n\r\n", "4\r\nbody\r\n"},
	{"chunk extension", signedHead + "Transfer-Encoding: chunked\r\n\r\n4;", "extension"},
	{"trailer", signedHead + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-Name: value\r\n"},
	{"line of an event", signedHead + "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: ", "text"},
	{"lines of an event", signedHead + "Content-Type: text/event-stream\r\n\r\nid: 1\n", "data: text\n"},
}

const signedHead = "HTTP/1.1 200 OK\r\nPathtally-Request-Id: ID\r\nPathtally-Server-Stamp: endless\r\nPathtally-Weight-Versions: 1\r\n"

// Guards against memory that grows with what a faulty replica sends.
func TestHostileReplicaSendsWithoutEnd(t *testing.T) {
	for _, test := range endlessResponses {
		t.Run(test.name, func(t *testing.T) {
			d := deployHostile(t, deploymentSpec{apps: 1})
			d.endlessReplica(test.head, test.text)
			d.askEndlessReplica()
			d.checkNode(d.nodes[0], &crowd{})
		})
	}
}

// defaultMemoryMB bounds the memory of a node whose settings name none.
const defaultMemoryMB = 1024

// Guards against bodies that have no limit in total where the settings name no memory.
func TestHostileReplicaWithoutMemorySetting(t *testing.T) {
	for _, test := range endlessResponses {
		t.Run(test.name, func(t *testing.T) {
			d := deployPlatform(t, deploymentSpec{nodes: 1, engines: 1, apps: 1, eventInterval: time.Millisecond, maxDescriptors: 4100})
			d.endlessReplica(test.head, test.text)
			d.askEndlessReplica()
			d.checkResources(d.nodes[0], defaultMemoryMB)
			d.checkAnswers(d.nodes[0], "after the replica")
			d.checkResources(d.nodes[0], defaultMemoryMB)
		})
	}
}

// askEndlessReplica sends requests of each kind until replicaCrowd of each kind have ended, then
// ends the replica's entries.
func (d *platformDeployment) askEndlessReplica() {
	d.t.Helper()
	var requests sync.WaitGroup
	for number := range replicaCrowd {
		for _, path := range []string{"/live/x", "/once/x", "/chat/x", "/chat-once/x"} {
			requests.Add(1)
			go func() {
				defer requests.Done()
				d.send(d.nodes[0], http.MethodPost, liveHost, path, fmt.Sprintf("endless%s.%d", strings.ReplaceAll(path, "/", "."), number), []byte("x"), nil)
			}()
		}
	}
	requests.Wait()
	d.store.Remove("servers", "endless")
	d.store.Remove("servers", "endless-engine")
}
