package test

import (
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/pathtally/pathtally/standin/replica"
)

const (
	// nesting is deeper than package json decodes.
	nesting = 20_000
	// followTime is how long nodes may take to use a new replica.
	followTime = 3 * time.Second
)

// invalidEntries are specs of replica entries that other writers left.
var invalidEntries = map[string]string{
	"deeply-nested":  `{"service":"apps","address":"127.0.0.1:9","zone":"zone-a","slots":4,"state":"ready","labels":` + strings.Repeat("[", nesting) + strings.Repeat("]", nesting) + `}`,
	"too-many-slots": `{"service":"apps","address":"127.0.0.1:9","zone":"zone-a","slots":9000000000000000000,"state":"ready"}`,
	"slots-overflow": `{"service":"apps","address":"127.0.0.1:9","zone":"zone-a","slots":1e400,"state":"ready"}`,
	"port-range":     `{"service":"apps","address":"127.0.0.1:70000","zone":"zone-a","slots":4,"state":"ready"}`,
	"start-time":     `{"service":"apps","address":"127.0.0.1:9","zone":"zone-a","slots":4,"state":"ready","born":9223372036854775807}`,
	"warm-up":        `{"service":"apps","address":"127.0.0.1:9","zone":"zone-a","slots":4,"state":"ready","coldLeftMs":1e300}`,
	"shutdown":       `{"service":"apps","address":"127.0.0.1:9","zone":"zone-a","slots":4,"state":"draining","leaves_ms":-1e300}`,
	"engine-slots":   `{"service":"engines","address":"127.0.0.1:9","zone":"zone-a","slots":9000000000000000000,"state":"ready","models":[{"name":"drafter","version":1}]}`,
	"engine-version": `{"service":"engines","address":"127.0.0.1:9","zone":"zone-a","slots":4,"state":"ready","models":[{"name":"drafter","version":9000000000000000000}]}`,
	"not-json":       "{\"service\":\"apps\",\"slots\":tru}",
	"nested-whole":   strings.Repeat(`{"a":`, nesting) + "1" + strings.Repeat("}", nesting),
}

// Guards against nodes that end or stop following the list of replicas because of one entry in it.
func TestInvalidReplicaEntryDoesNotAffectOthers(t *testing.T) {
	for name, spec := range invalidEntries {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := deployPlatform(t, deploymentSpec{nodes: 2, engines: 2, apps: 1, eventInterval: time.Millisecond})
			d.store.WriteRaw("servers", "invalid", []byte(spec))
			d.checkFollows("app-0", "app-after-watch")
			d.submit(d.nodes[0], "job", 8, 1)
			d.checkResults(d.read(func() *platformNode { return d.nodes[1] }, "job", 8), 8, 1)
			for _, node := range d.nodes {
				node.signal(syscall.SIGKILL)
			}
			d.nodes = nil
			for number := range 2 {
				d.startNode(number)
			}
			for _, node := range d.nodes {
				d.waitReady(node)
			}
			d.checkFollows("app-after-watch", "app-after-list")
		})
	}
}

// checkFollows replaces the only app, previous, by another one and checks that every node uses it.
func (d *platformDeployment) checkFollows(previous, next string) {
	d.t.Helper()
	started, err := replica.Start(replica.Config{ID: next, Slots: 16})
	if err != nil {
		d.t.Fatal(err)
	}
	d.t.Cleanup(started.Close)
	d.store.Write("servers", next, started.Entry("apps", d.zone(0)))
	d.store.Remove("servers", previous)
	d.apps[0].Close()
	d.apps[0] = started
	end := time.Now().Add(followTime)
	for number, node := range d.nodes {
		for try := 0; ; try++ {
			response, err := d.send(node, http.MethodPost, liveHost, "/live/pay", fmt.Sprintf("%s-%d-%d", next, number, try), []byte("body"), nil)
			if err == nil && response.status == http.StatusOK {
				break
			}
			if time.Now().After(end) {
				d.t.Errorf("node-%d does not use replica %s after %s: status %d, error %v", number, next, followTime, response.status, err)
				break
			}
			time.Sleep(superviseInterval)
		}
	}
}
