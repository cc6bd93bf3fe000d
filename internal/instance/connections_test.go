package instance

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"

	"k8s.io/klog/v2"

	"github.com/pathtally/pathtally/internal/callers/exchange"
	"github.com/pathtally/pathtally/internal/cluster/peering"
	"github.com/pathtally/pathtally/internal/replicas/directory"
)

// Each node must limit its connections to a replica by its share of the service's limit.
func TestConnectionLimits(t *testing.T) {
	for _, test := range []struct {
		name                string
		limit, nodes, slots int
		want                exchange.ConnectionLimits
	}{
		{"few nodes", 150, 9, 8, exchange.ConnectionLimits{Open: 24, Idle: 24}},
		{"many nodes", 490, 67, 6, exchange.ConnectionLimits{Open: 18, Idle: 18}},
		{"very many nodes", 100, 350, 6, exchange.ConnectionLimits{Open: 18, Idle: 18}},
		{"one node", 400, 1, 8, exchange.ConnectionLimits{Open: 320, Idle: 32}},
		{"fewer connections than slots", 4, 1, 8, exchange.ConnectionLimits{Open: 4, Idle: 4}},
		{"no limit", 0, 9, 8, exchange.ConnectionLimits{Open: unlimitedConnections, Idle: 32}},
	} {
		view := &directory.View{
			Configuration: &directory.Configuration{Services: map[string]directory.Service{"s": {Name: "s", MaxConnections: test.limit}}},
			Replicas:      map[string]*directory.Replica{"r": {ID: "r", Service: "s", Address: "a", Slots: test.slots}},
		}
		if got := connectionLimits(view, test.nodes)["a"]; got != test.want {
			t.Errorf("%s: %+v, want %+v", test.name, got, test.want)
		}
	}
}

// A node must keep connections to a new replica idle as soon as it is listed, and must not
// close connections before it knows any replica.
func TestConnectionLimiterNewReplica(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		limiter := &connectionLimiter{
			directory: directory.NewTable("node", "zone", nil, klog.Background()),
			peers:     peering.NewTable(peering.Config{Node: "node"}),
			pool: exchange.NewPool(func(context.Context, string) (net.Conn, error) {
				near, far := net.Pipe()
				go respondAll(far)
				return near, nil
			}),
		}
		go limiter.run(ctx)
		send := func(address string) {
			response, err := limiter.pool.Send(ctx, address, &exchange.Request{Method: http.MethodGet, Target: "/", Host: "host", Header: http.Header{}}, false)
			if err != nil {
				t.Fatal(err)
			}
			io.Copy(io.Discard, response)
			response.Close()
			synctest.Wait()
		}
		send("early")
		if open := limiter.pool.Counts.Open.Load(); open != 1 {
			t.Errorf("%d idle connections before any replica is known, want 1", open)
		}
		limiter.directory.SetConfiguration(&directory.Configuration{Version: 1, Services: map[string]directory.Service{"s": {MaxConnections: 10}}}, 1)
		limiter.directory.SetReplicas([]*directory.Replica{{ID: "a", Service: "s", Address: "listed", Slots: 2, State: directory.ReplicaReady}}, 0)
		synctest.Wait()
		send("listed")
		if open := limiter.pool.Counts.Open.Load(); open != 1 {
			t.Errorf("%d idle connections, want only the one to the listed replica", open)
		}
		cancel()
		limiter.pool.SetLimits(map[string]exchange.ConnectionLimits{})
	})
}

// respondAll responds to all requests on a connection.
func respondAll(connection net.Conn) {
	requests := bufio.NewReader(connection)
	for {
		if _, err := http.ReadRequest(requests); err != nil {
			return
		}
		io.WriteString(connection, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	}
}
