// Command surplus checks that a stream that may not be resumed runs at most once, and not at all
// if its caller gets a 503, while a replica sends surplus answers.
package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/pathtally/pathtally/review/standin"
	"github.com/pathtally/pathtally/standin/metastore"
)

const (
	host  = "chat.example"
	model = "drafter"
	// requests is the number of requests, which are sent one after the other, and requestGap
	// the time between two of them.
	requests   = 80
	requestGap = 80 * time.Millisecond
	deadlineMs = "5000"
	nodes      = 3
	replicas   = 3
)

func main() { os.Exit(standin.Main(play)) }

func play(ctx context.Context, program string, record *standin.Record, trouble bool) ([]string, error) {
	all := &shared{turnedAway: map[run]bool{}}
	var started []*replica
	for number := range replicas {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer listener.Close()
		replica := &replica{id: fmt.Sprintf("i-%d", number+1), listener: listener, record: record, sendsSurplus: trouble && number == 0, shared: all}
		go replica.serve()
		started = append(started, replica)
	}
	deployment, err := standin.Start(ctx, program, nodes, record, func(store *metastore.Store) { fill(store, started) })
	if deployment != nil {
		defer deployment.Close()
	}
	if err != nil {
		return nil, err
	}
	var broken []string
	served := 0
	for number := range requests {
		id := fmt.Sprintf("%016x", number+1)
		status := send(ctx, deployment.Nodes[number%nodes], id, record)
		if status == http.StatusOK {
			served++
		}
		time.Sleep(requestGap)
		broken = append(broken, check(id, status, all.runsOf(id))...)
	}
	if served == 0 {
		return nil, fmt.Errorf("none of %d requests was served", requests)
	}
	record.Add("%d of %d requests were served", served, requests)
	return broken, nil
}

// check returns how a request breaks the rules TWICE and REFUSED.
func check(id string, status int, ran []string) []string {
	var broken []string
	if len(ran) > 1 {
		broken = append(broken, fmt.Sprintf("TWICE: request %s ran %d times, at %s", id, len(ran), strings.Join(ran, ", ")))
	}
	if status == http.StatusServiceUnavailable && len(ran) > 0 {
		broken = append(broken, fmt.Sprintf("REFUSED: request %s was answered 503 and ran at %s", id, strings.Join(ran, ", ")))
	}
	return broken
}

// fill writes the configuration and the replicas into the store.
func fill(store *metastore.Store, started []*replica) {
	store.Write("config", "main", map[string]any{
		"version": 1,
		"routes": []map[string]any{{
			"name": "chat", "host": host, "pathPrefix": "/chat/", "type": "streaming", "service": "route-model", "maxAttempts": 2,
			"sloMs": 400, "timeoutMs": 5000, "priority": 1,
		}},
		"services": []map[string]any{{
			"name": "route-model", "healthPath": "/healthz", "maxConns": 150, "protocol": "h1", "tls": false,
			"engine": map[string]any{"slots": 8, "kvCapacity": 103490, "models": []map[string]any{{"name": model}}},
		}},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 33554432, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	for _, replica := range started {
		store.Write("servers", replica.id, map[string]any{
			"service": "route-model", "address": replica.listener.Addr().String(), "zone": standin.Zone, "version": "v1", "slots": 8, "state": "ready",
			"coldLeftMs": 0, "stage": "both", "models": []map[string]any{{"name": model, "version": 1, "adapters": []string{}}}, "seq": 1,
		})
	}
}

// send sends a request on a new connection and returns the status of the answer, 0 for none.
func send(ctx context.Context, node *standin.Node, id string, record *standin.Record) int {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+node.HTTP+"/chat/"+id, strings.NewReader("book a job "+id))
	if err != nil {
		return 0
	}
	request.Host, request.Close = host, true
	request.Header.Set("Pathtally-Request-Id", id)
	request.Header.Set("Pathtally-Deadline-Ms", deadlineMs)
	request.Header.Set("Pathtally-Model", model)
	request.Header.Set("Pathtally-Token-Usage", "16,5")
	request.Header.Set("Pathtally-Prefix-Hash", id+":16")
	record.Add("client sends request %s to node %s", id, node.Name)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		record.Add("client gets no answer to request %s: %v", id, err)
		return 0
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	record.Add("client gets %d for request %s, stamp %q, body %q, error %v", response.StatusCode, id, response.Header.Get("Pathtally-Server-Stamp"), body, err)
	return response.StatusCode
}
