// Command 4 is the driver of review case 4: a planned stop of a node while requests of a streaming
// route that may run once wait for their first event.
package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pathtally/pathtally/review/rig"
)

const (
	clients = 30
	slots   = 16
	// A replica works this long before the first event of an export.
	minWork, maxWork = 3000 * time.Millisecond, 8000 * time.Millisecond
	objective        = 8 * time.Second
	deadline         = 20 * time.Second
	stopAfter        = 8 * time.Second
	length           = 26 * time.Second
)

// replica is a stand-in of an application service that streams its answers.
type replica struct {
	id     string
	record *rig.Record
	mutex  *sync.Mutex
	// ran has the replicas that began to work on a request, by request id.
	ran map[string][]string
	// active is the number of requests in progress.
	active int
}

func (r *replica) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	io.Copy(io.Discard, request.Body)
	id := request.Header.Get("Pathtally-Request-Id")
	writer.Header().Set("Pathtally-Request-Id", id)
	if expected := request.Header.Get("Pathtally-Expect-Instance"); expected != "" && expected != r.id {
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	r.mutex.Lock()
	full := r.active >= slots
	if !full {
		r.active++
		r.ran[id] = append(r.ran[id], r.id)
	}
	r.mutex.Unlock()
	if full {
		writer.Header().Set("Pathtally-Not-Executed", "1")
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() {
		r.mutex.Lock()
		defer r.mutex.Unlock()
		r.active--
	}()
	r.record.Add("replica %s began to work on %s", r.id, id)
	select {
	case <-time.After(minWork + rand.N(maxWork-minWork)):
	case <-request.Context().Done():
		r.record.Add("replica %s stopped working on %s: connection closed", r.id, id)
		return
	}
	writer.Header().Set("Content-Type", "text/event-stream")
	writer.Header().Set("Pathtally-Server-Stamp", r.id+"."+id)
	for event := 1; event <= 3; event++ {
		fmt.Fprintf(writer, "id: %d\ndata: row %d\n\n", event, event)
		http.NewResponseController(writer).Flush()
	}
	r.record.Add("replica %s finished %s", r.id, id)
}

// client sends one request after the other on a connection that it keeps.
type client struct {
	number    int
	nodes     []*rig.Node
	record    *rig.Record
	mutex     *sync.Mutex
	refused   map[string]int
	transport *http.Transport
}

func (c *client) run(ctx context.Context) {
	node := c.nodes[0]
	for sequence := 1; ctx.Err() == nil; sequence++ {
		id := fmt.Sprintf("%04x%012x", c.number, sequence)
		status, closes := c.send(ctx, node, id)
		if status != http.StatusOK || closes {
			// The platform leads new connections to a node that is ready.
			c.transport.CloseIdleConnections()
			node = c.nodes[1]
			time.Sleep(100 * time.Millisecond)
		}
	}
}

func (c *client) send(ctx context.Context, node *rig.Node, id string) (status int, closes bool) {
	ctx, cancel := context.WithTimeout(ctx, deadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+node.HTTP+"/exports/"+id, strings.NewReader("export "+id))
	if err != nil {
		return 0, true
	}
	request.Host = "exports.example"
	request.Header.Set("Pathtally-Request-Id", id)
	request.Header.Set("Pathtally-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	c.record.Add("client %d sends %s to %s", c.number, id, node.Name)
	response, err := c.transport.RoundTrip(request)
	if err != nil {
		c.record.Add("client %d got no answer to %s: %v", c.number, id, err)
		return 0, true
	}
	defer response.Body.Close()
	events := 0
	for lines := bufio.NewScanner(response.Body); lines.Scan(); {
		if strings.HasPrefix(lines.Text(), "id:") {
			events++
		}
	}
	c.record.Add("client %d got %d to %s from %s, events %d, Retry-After %q", c.number, response.StatusCode, id, node.Name, events, response.Header.Get("Retry-After"))
	switch response.StatusCode {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		c.mutex.Lock()
		c.refused[id] = response.StatusCode
		c.mutex.Unlock()
	}
	return response.StatusCode, response.Close
}

func main() { os.Exit(run()) }

func run() int {
	record, err := rig.NewRecord("review/4")
	if err != nil {
		return rig.NotRun
	}
	deployment, err := rig.New("target/pathtally", record, 2, nil)
	if err != nil {
		return rig.NotRun
	}
	defer deployment.Close()
	mutex := &sync.Mutex{}
	ran := map[string][]string{}
	for number := range 3 {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return rig.NotRun
		}
		id := fmt.Sprintf("i-export-%d", number)
		go http.Serve(listener, &replica{id: id, record: record, mutex: mutex, ran: ran})
		deployment.Store.Write("servers", id, map[string]any{
			"service": "exporter", "address": listener.Addr().String(), "zone": "zone-a", "version": "v1", "slots": slots, "state": "ready",
		})
	}
	deployment.Store.Write("config", "main", map[string]any{
		"version": 1,
		"routes": []map[string]any{{
			"name": "exports", "host": "exports.example", "pathPrefix": "/exports/", "type": "streaming", "service": "exporter", "maxAttempts": 2,
			"sloMs": objective.Milliseconds(), "timeoutMs": deadline.Milliseconds(), "priority": 1,
		}},
		"services": []map[string]any{{"name": "exporter", "healthPath": "/healthz", "maxConns": 150, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 1 << 20, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	if !deployment.StartAll() {
		return rig.NotRun
	}
	ctx, cancel := context.WithTimeout(context.Background(), length)
	defer cancel()
	refused := map[string]int{}
	var senders sync.WaitGroup
	for number := range clients {
		sender := &client{number: number, nodes: deployment.Nodes, record: record, mutex: mutex, refused: refused, transport: &http.Transport{DisableCompression: true}}
		senders.Go(func() {
			time.Sleep(time.Duration(number) * 100 * time.Millisecond)
			sender.run(ctx)
		})
	}
	time.Sleep(stopAfter)
	if rig.Trouble() {
		record.Add("SIGTERM to %s", deployment.Nodes[0].Name)
		deployment.Nodes[0].Signal(syscall.SIGTERM)
	}
	senders.Wait()
	mutex.Lock()
	defer mutex.Unlock()
	broken := 0
	for id, status := range refused {
		if replicas := ran[id]; len(replicas) > 0 {
			broken++
			record.Add("BROKEN: %s was answered %d, but ran at %v", id, status, replicas)
		}
	}
	record.Add("%d requests ran, %d were refused, %d of these ran", len(ran), len(refused), broken)
	if len(ran) < clients {
		return rig.NotRun
	}
	if broken > 0 {
		return rig.Broken
	}
	return rig.Held
}
