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

// A service's bound on connections used to be read and not kept to.
func TestConnectionsAreSharedAmongNodes(t *testing.T) {
	for _, test := range []struct {
		name                 string
		most, nodes, replica int
		want                 exchange.ConnectionLimits
	}{
		{"few nodes", 150, 9, 8, exchange.ConnectionLimits{Open: 24, Idle: 24}},
		{"many nodes", 490, 67, 6, exchange.ConnectionLimits{Open: 18, Idle: 18}},
		{"very many nodes", 100, 350, 6, exchange.ConnectionLimits{Open: 18, Idle: 18}},
		{"one node", 400, 1, 8, exchange.ConnectionLimits{Open: 320, Idle: 32}},
		{"fewer connections than slots", 4, 1, 8, exchange.ConnectionLimits{Open: 4, Idle: 4}},
		{"no bound", 0, 9, 8, exchange.ConnectionLimits{Open: unlimitedConnections, Idle: 32}},
	} {
		view := &directory.View{
			Configuration: &directory.Configuration{Services: map[string]directory.Service{"s": {Name: "s", MaxConnections: test.most}}},
			Replicas:      map[string]*directory.Replica{"r": {ID: "r", Service: "s", Address: "a", Slots: test.replica}},
		}
		if got := connectionLimits(view, test.nodes)["a"]; got != test.want {
			t.Errorf("%s: %+v, want %+v", test.name, got, test.want)
		}
	}
}

// A replica gets its bounds when it is listed, and before a starting node knows any
// its connections rest: all nodes started anew used to close what they had opened in
// their first second.
func TestConnectionsToANewReplicaRestAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		node := &connectionLimiter{
			directory: directory.NewTable("node", "zone", nil, klog.Background()),
			peers:     peering.NewTable(peering.Config{Node: "node"}),
			pool: exchange.NewPool(func(context.Context, string) (net.Conn, error) {
				near, far := net.Pipe()
				go answerAll(far)
				return near, nil
			}),
		}
		go node.run(ctx)
		ask := func(address string) {
			answer, err := node.pool.Send(ctx, address, &exchange.Request{Method: http.MethodGet, Target: "/", Host: "host", Header: http.Header{}}, false)
			if err != nil {
				t.Fatal(err)
			}
			io.Copy(io.Discard, answer)
			answer.Close()
			synctest.Wait()
		}
		ask("early")
		if open := node.pool.Counts.Open.Load(); open != 1 {
			t.Errorf("%d connections rest before any replica is known", open)
		}
		node.directory.SetConfiguration(&directory.Configuration{Version: 1, Services: map[string]directory.Service{"s": {MaxConnections: 10}}}, 1)
		node.directory.SetReplicas([]*directory.Replica{{ID: "a", Service: "s", Address: "listed", Slots: 2, State: directory.ReplicaReady}}, 0)
		synctest.Wait()
		ask("listed")
		if open := node.pool.Counts.Open.Load(); open != 1 {
			t.Errorf("%d connections rest, want that to the replica listed", open)
		}
		cancel()
		node.pool.SetLimits(map[string]exchange.ConnectionLimits{})
	})
}

// answerAll answers the requests on a connection.
func answerAll(connection net.Conn) {
	requests := bufio.NewReader(connection)
	for {
		if _, err := http.ReadRequest(requests); err != nil {
			return
		}
		io.WriteString(connection, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	}
}
