package test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/pathtally/pathtally/standin/dutyapi"
	"github.com/pathtally/pathtally/standin/metastore"
	"github.com/pathtally/pathtally/standin/replica"
)

const (
	draftHost  = "drafts.example"
	draftModel = "drafter"
	liveHost   = "live.example"
)

// platformDeployment is a set of node processes that use stand-ins for the users'
// platform.
type platformDeployment struct {
	t            *testing.T
	store        *metastore.Store
	engines      []*replica.Server
	apps         []*replica.Server
	nodes        []*platformNode
	storeAddress string
	folder       string
	// tenants are declared in each configuration that is written; nil for none.
	tenants []map[string]any
	// dutyAPI receives usage reports, one for each usageWindow; nil if usage is not reported.
	dutyAPI     *dutyapi.Server
	usageWindow time.Duration
	// regions are assigned to nodes, engines and apps in turn. Each has one zone of the
	// same name. nil puts everything into zone-a.
	regions []string
	// allowedRegions are the allowed regions of routes, by route name.
	allowedRegions map[string][]string
	// links are the proxies of each node, by its number; used only with regions.
	links map[int]*nodeLinks
	// memoryMB and maxDescriptors are those of the deploymentSpec.
	memoryMB, maxDescriptors int
	jobRetention             time.Duration
}

// platformNode is one node process.
type platformNode struct {
	*program
	http      string
	readiness string
	metrics   string
	peer      string
	mutex     sync.Mutex
	log       bytes.Buffer
}

// deploymentSpec describes a deployment to start.
type deploymentSpec struct {
	nodes, engines, apps int
	eventInterval        time.Duration
	tenants              []map[string]any
	// usageWindow is the length of usage windows; 0 disables usage reports.
	usageWindow time.Duration
	// regions and allowedRegions are as in platformDeployment.
	regions        []string
	allowedRegions map[string][]string
	// crashOn makes replicas crash on requests whose body contains it.
	crashOn string
	// appServiceTime is the time that apps take for a request; 0 for 1 ms.
	appServiceTime time.Duration
	// memoryMB is the memory in the settings of the nodes, and maxDescriptors the limit on the
	// descriptors of each node; 0 for none.
	memoryMB, maxDescriptors int
	// jobRetention is the setting of the nodes, 0 for the default.
	jobRetention time.Duration
	// wrapStore returns the handler that serves the metadata store in place of the given one; nil for
	// none.
	wrapStore func(http.Handler) http.Handler
}

// deployPlatform starts stand-ins and nodes and waits until every node is ready.
func deployPlatform(t *testing.T, spec deploymentSpec) *platformDeployment {
	t.Helper()
	d := &platformDeployment{t: t, store: metastore.New(), folder: t.TempDir(), tenants: spec.tenants, regions: spec.regions, allowedRegions: spec.allowedRegions, links: map[int]*nodeLinks{}, memoryMB: spec.memoryMB, maxDescriptors: spec.maxDescriptors, jobRetention: spec.jobRetention}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: &metastore.Server{Store: d.store}}
	if spec.wrapStore != nil {
		server.Handler = spec.wrapStore(server.Handler)
	}
	go server.Serve(listener)
	t.Cleanup(func() { server.Close() })
	d.storeAddress = listener.Addr().String()
	if spec.usageWindow > 0 {
		d.usageWindow = spec.usageWindow
		if d.dutyAPI, err = dutyapi.Start(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(d.dutyAPI.Close)
	}
	d.startReplicas(spec)
	d.configure(1)
	for number := range spec.nodes {
		d.startNode(number)
	}
	for _, node := range d.nodes {
		d.waitReady(node)
	}
	return d
}

func (d *platformDeployment) startReplicas(spec deploymentSpec) {
	d.t.Helper()
	start := func(config replica.Config, service string, number int) *replica.Server {
		started, err := replica.Start(config)
		if err != nil {
			d.t.Fatal(err)
		}
		d.t.Cleanup(started.Close)
		d.store.Write("servers", config.ID, started.Entry(service, d.zone(number)))
		return started
	}
	for number := range spec.engines {
		d.engines = append(d.engines, start(replica.Config{
			ID: fmt.Sprintf("engine-%d", number), Slots: 8, Model: draftModel, EventInterval: spec.eventInterval, LoadTime: 100 * time.Millisecond,
			CrashOn: spec.crashOn, CrashAfter: crashAfter,
		}, "engines", number))
	}
	for number := range spec.apps {
		d.apps = append(d.apps, start(replica.Config{ID: fmt.Sprintf("app-%d", number), Slots: 16, ServiceTime: max(spec.appServiceTime, time.Millisecond), CrashOn: spec.crashOn, CrashAfter: crashAfter}, "apps", number))
	}
}

// configure writes the configuration with the given version number.
func (d *platformDeployment) configure(version int) {
	configuration := map[string]any{
		"version": version,
		"routes": []map[string]any{
			{"name": "drafts", "host": draftHost, "pathPrefix": "/drafts/", "type": "rollout", "service": "engines", "maxAttempts": 3,
				"sloMs": 400, "timeoutMs": 10000, "runTargetMs": 7500, "retentionS": 60},
			{"name": "chat", "host": liveHost, "pathPrefix": "/chat/", "type": "streaming", "resumable": true, "sticky": true, "service": "engines",
				"maxAttempts": 3, "sloMs": 1000, "timeoutMs": 10000},
			{"name": "chat-once", "host": liveHost, "pathPrefix": "/chat-once/", "type": "streaming", "service": "engines", "maxAttempts": 3,
				"sloMs": 1000, "timeoutMs": 10000},
			{"name": "rewards", "host": liveHost, "pathPrefix": "/score/", "type": "safe", "service": "apps", "maxAttempts": 4, "sloMs": 500, "timeoutMs": 2000},
			{"name": "open", "host": liveHost, "pathPrefix": "/open/", "type": "safe", "service": "apps", "maxAttempts": 3, "sloMs": 2000, "timeoutMs": 5000,
				"public": true},
			{"name": "live", "host": liveHost, "pathPrefix": "/live/", "type": "safe", "service": "apps", "maxAttempts": 3, "sloMs": 2000, "timeoutMs": 5000},
			{"name": "once", "host": liveHost, "pathPrefix": "/once/", "type": "unsafe", "service": "apps", "maxAttempts": 3, "sloMs": 2000, "timeoutMs": 5000},
		},
		"services": []map[string]any{
			{"name": "engines", "maxConns": 100, "engine": map[string]any{"slots": 8, "models": []map[string]any{{"name": draftModel}}}},
			{"name": "apps", "maxConns": 100},
		},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 1 << 20, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
	for _, route := range configuration["routes"].([]map[string]any) {
		if regions := d.allowedRegions[route["name"].(string)]; regions != nil {
			route["allowedRegions"] = regions
		}
	}
	if d.tenants != nil {
		configuration["tenants"] = d.tenants
	}
	d.store.Write("config", "main", configuration)
}

// writeSettings writes the settings file of a node and returns its path.
func (d *platformDeployment) writeSettings(number int, grace string) string {
	path := filepath.Join(d.folder, fmt.Sprintf("node-%d.yaml", number))
	settings := fmt.Sprintf("node: node-%d\nhttp: 127.0.0.1:0\npeer: 127.0.0.1:0\nreadiness: 127.0.0.1:0\nmetrics: 127.0.0.1:0\ngrace: %s\n", number, grace)
	settings += d.locationSettings(number)
	if d.memoryMB > 0 {
		settings += fmt.Sprintf("memoryMB: %d\n", d.memoryMB)
	}
	if d.jobRetention > 0 {
		settings += fmt.Sprintf("jobRetention: %s\n", d.jobRetention)
	}
	if d.dutyAPI != nil {
		settings += fmt.Sprintf("dutyAPI: %s\nduties: [metering]\nusageWindow: %s\nusageLate: %s\n", d.dutyAPI.Address(), d.usageWindow, usageLate)
	}
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		d.t.Fatal(err)
	}
	return path
}

func (d *platformDeployment) startNode(number int) *platformNode {
	d.t.Helper()
	node := &platformNode{program: startLimited(d.t, d.maxDescriptors, 0, "pathtally", "node", "-settings", d.writeSettings(number, "6s"), "-v")}
	go node.collect()
	var started struct{ HTTP, Readiness, Metrics, Peer string }
	d.eventually("the node to start", func() bool {
		line := node.find("node started")
		return line != nil && json.Unmarshal(line, &started) == nil
	})
	node.http, node.readiness, node.metrics, node.peer = started.HTTP, started.Readiness, started.Metrics, started.Peer
	if links := d.links[number]; links != nil {
		links.peer.setTarget(started.Peer)
	}
	d.nodes = append(d.nodes, node)
	return node
}

// collect appends the output of the process to the log until the process ends.
func (n *platformNode) collect() {
	buffer := make([]byte, 64<<10)
	for {
		count, err := n.output.Read(buffer)
		n.mutex.Lock()
		n.log.Write(buffer[:count])
		n.mutex.Unlock()
		if err != nil {
			return
		}
	}
}

// find returns the first log line that contains all words, or nil.
func (n *platformNode) find(words ...string) []byte {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	for _, line := range bytes.Split(n.log.Bytes(), []byte("\n")) {
		found := true
		for _, word := range words {
			found = found && bytes.Contains(line, []byte(word))
		}
		if found {
			return line
		}
	}
	return nil
}

func (d *platformDeployment) eventually(what string, check func() bool) {
	d.t.Helper()
	eventually(d.t, what, check)
}

func (d *platformDeployment) waitReady(node *platformNode) {
	d.t.Helper()
	d.eventually("the node to become ready", func() bool {
		response, err := http.Get("http://" + node.readiness + "/-/readyz")
		if err != nil {
			return false
		}
		response.Body.Close()
		return response.StatusCode == http.StatusOK
	})
}
