package test

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/pathtally/pathtally/standin/metastore"
	"github.com/pathtally/pathtally/standin/replica"
)

const (
	soakEngines = 5
	soakApps    = 3
	// engineSlots and the interval between the events of a stream are chosen such that the
	// largest jobs run for some seconds.
	engineSlots      = 8
	minEventInterval = 50 * time.Millisecond
	maxEventInterval = 170 * time.Millisecond
	// soakGrace is the nodes' grace period for a shutdown.
	soakGrace = 8 * time.Second
)

// soakNode is a node whose connections to the store and from its peers pass through
// proxies. Each start gives it a new process.
type soakNode struct {
	name      string
	storeLink *proxy
	peerLink  *proxy
	mutex     sync.Mutex
	current   *platformNode
	// incarnation counts the starts.
	incarnation int
	// down is set while the process is stopped, paused or starting.
	down atomic.Bool
}

// process returns the current process and its incarnation.
func (n *soakNode) process() (*platformNode, int) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.current, n.incarnation
}

// soakReplica is a replica behind a proxy.
type soakReplica struct {
	id      string
	service string
	server  *replica.Server
	link    *proxy
	zone    string
	// drainedAt is when the replica was marked as draining, zero for never.
	drainedAt time.Time
}

// soakRun is one run of the soak: node processes, stand-ins and what was observed.
type soakRun struct {
	t            *testing.T
	seed         uint64
	folder       string
	store        *metastore.Store
	storeAddress string
	nodes        []*soakNode

	mutex    sync.Mutex
	replicas []*soakReplica
	// formerReplicas are replicas that have ended; their runs are still checked.
	formerReplicas  []*soakReplica
	replicasStarted int
	configVersion   int
	// configuredAt is when the newest configuration was written.
	configuredAt time.Time
	// heals are the times at which links or processes recovered.
	heals []time.Time
	// weightVersion is the newest weight version of the model.
	weightVersion int64

	slowCalls slowCalls
	// restarts counts the ends of node processes.
	restarts atomic.Int64
	// faultsEnded is set after the last fault.
	faultsEnded atomic.Bool

	record *soakRecord
	done   chan struct{}
	tasks  sync.WaitGroup
}

// newSoakRun starts the stand-ins and nodes of a run.
func newSoakRun(t *testing.T, seed uint64) *soakRun {
	t.Helper()
	w := &soakRun{
		t: t, seed: seed, folder: t.TempDir(), store: metastore.New(), weightVersion: 1,
		record: newSoakRecord(), done: make(chan struct{}),
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: &metastore.Server{Store: w.store}}
	go server.Serve(listener)
	t.Cleanup(func() { server.Close() })
	w.storeAddress = listener.Addr().String()
	for range soakEngines {
		w.addReplica("engines")
	}
	for range soakApps {
		w.addReplica("apps")
	}
	w.configure()
	for number := range drawSpec(seed).nodes {
		w.nodes = append(w.nodes, &soakNode{
			name: fmt.Sprintf("node-%d", number), storeLink: newProxy(t, w.storeAddress), peerLink: newProxy(t, w.storeAddress),
		})
	}
	w.startNodes(w.nodes)
	for _, node := range w.nodes {
		w.awaitReady(node)
	}
	return w
}

// startNodes starts several nodes at once.
func (w *soakRun) startNodes(nodes []*soakNode) {
	var all sync.WaitGroup
	for _, node := range nodes {
		all.Go(func() { w.startNode(node) })
	}
	all.Wait()
}

// randomNode draws a node, running or not.
func (w *soakRun) randomNode(random *randomStream) *soakNode {
	return w.nodes[random.intN(len(w.nodes))]
}

// addReplica starts a replica under a new id and writes its entry to the store.
func (w *soakRun) addReplica(service string) { w.startReplica(service, "") }

// startReplica starts a replica and writes its entry to the store. An empty id stands for a
// new one.
func (w *soakRun) startReplica(service, id string) {
	w.mutex.Lock()
	w.replicasStarted++
	if id == "" {
		id = fmt.Sprintf("%s-%d", service, w.replicasStarted)
	}
	drawn := newRandomStream(w.seed, streamReplicas+uint64(w.replicasStarted))
	zone := soakZones[w.replicasStarted%len(soakZones)]
	w.mutex.Unlock()
	config := replica.Config{ID: id, Slots: 16, Work: 3 * time.Millisecond}
	if service == "engines" {
		config = replica.Config{ID: id, Slots: engineSlots, Model: draftModel, EventInterval: drawn.duration(minEventInterval, maxEventInterval), LoadTime: 150 * time.Millisecond}
	}
	started := &soakReplica{id: id, service: service, zone: zone}
	config.CrashOn, config.CrashAfter, config.Born = crashingText, crashAfter, time.Now().UnixMilli()
	config.OnCrash = func() { started.link.close() }
	server, err := replica.Start(config)
	if err != nil {
		w.t.Error(err)
		return
	}
	started.server, started.link = server, newProxy(w.t, server.Address())
	w.t.Cleanup(server.Close)
	w.store.Write("servers", id, started.entry("ready"))
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.replicas = append(w.replicas, started)
}

func (r *soakReplica) entry(state string) map[string]any {
	entry := r.server.Entry(r.service, r.zone)
	entry["address"], entry["state"] = r.link.address(), state
	return entry
}

// ofService returns the running replicas of a service that do not drain.
func (w *soakRun) ofService(service string) []*soakReplica {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	var found []*soakReplica
	for _, candidate := range w.replicas {
		if candidate.service == service && candidate.drainedAt.IsZero() {
			found = append(found, candidate)
		}
	}
	return found
}

// removeReplica moves a replica to formerReplicas.
func (w *soakRun) removeReplica(ended *soakReplica) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for number, candidate := range w.replicas {
		if candidate == ended {
			w.replicas = append(w.replicas[:number:number], w.replicas[number+1:]...)
			w.formerReplicas = append(w.formerReplicas, ended)
			return
		}
	}
}

// allReplicas returns the running replicas and those that have ended.
func (w *soakRun) allReplicas() []*soakReplica {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return append(append([]*soakReplica(nil), w.replicas...), w.formerReplicas...)
}

// configure writes the next version of the configuration. Each version adds a route, which
// the next version keeps and the one after it drops.
func (w *soakRun) configure() {
	w.mutex.Lock()
	w.configVersion++
	version := w.configVersion
	w.mutex.Unlock()
	routes := []map[string]any{
		{"name": "drafts", "host": draftHost, "pathPrefix": "/drafts/", "type": "rollout", "service": "engines", "maxAttempts": 3, "sloMs": 400,
			"timeoutMs": 10000, "runTargetMs": 7500, "retentionS": 60},
		{"name": "chat", "host": liveHost, "pathPrefix": "/chat/", "type": "streaming", "resumable": true, "sticky": true, "service": "engines",
			"maxAttempts": 3, "sloMs": 1000, "timeoutMs": 10000},
		{"name": "rewards", "host": liveHost, "pathPrefix": "/score/", "type": "safe", "service": "apps", "maxAttempts": 4, "sloMs": 500, "timeoutMs": 2000},
		{"name": "live", "host": liveHost, "pathPrefix": "/live/", "type": "safe", "service": "apps", "maxAttempts": 3, "sloMs": 300, "timeoutMs": 3000},
		{"name": "once", "host": liveHost, "pathPrefix": "/once/", "type": "unsafe", "service": "apps", "maxAttempts": 3, "sloMs": 300, "timeoutMs": 3000},
	}
	for _, kept := range []int{version - 1, version} {
		routes = append(routes, map[string]any{"name": fmt.Sprintf("version-%d", kept), "host": liveHost, "pathPrefix": versionPath(kept),
			"type": "safe", "service": "apps", "maxAttempts": 3, "sloMs": 300, "timeoutMs": 3000})
	}
	w.store.Write("config", "main", map[string]any{
		"version": version, "routes": routes,
		"services": []map[string]any{
			{"name": "engines", "maxConns": 100, "engine": map[string]any{"slots": engineSlots, "models": []map[string]any{{"name": draftModel}}}},
			{"name": "apps", "maxConns": 100},
		},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 1 << 20, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.configuredAt = time.Now()
}

func versionPath(version int) string { return fmt.Sprintf("/version-%d/", version) }

// newestConfigVersion returns the newest configuration version and when it was written.
func (w *soakRun) newestConfigVersion() (int, time.Time) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.configVersion, w.configuredAt
}

// startNode starts a new process of a node.
func (w *soakRun) startNode(node *soakNode) {
	w.t.Helper()
	path := filepath.Join(w.folder, node.name+".yaml")
	settings := fmt.Sprintf("node: %s\nzone: zone-a\nregion: region\nhttp: 127.0.0.1:0\npeer: 127.0.0.1:0\npeerAdvertised: %s\n"+
		"readiness: 127.0.0.1:0\nmetrics: 127.0.0.1:0\nobjectStore: %s\ngrace: %s\ndutyLease: 3s\ndrain: 2s\nmemoryMB: 200\nevacuationBound: 3s\n",
		node.name, node.peerLink.address(), node.storeLink.address(), soakGrace)
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		w.t.Error(err)
		return
	}
	process := &platformNode{program: start(w.t, 0, "pathtally", "node", "-settings", path)}
	go process.collect()
	var started struct{ HTTP, Readiness, Metrics, Peer string }
	for end := time.Now().Add(startLimit); ; time.Sleep(pollInterval) {
		line := process.find(`"node started"`)
		if line != nil && json.Unmarshal(line, &started) == nil {
			break
		}
		if time.Now().After(end) {
			w.t.Errorf("%s did not start in time", node.name)
			return
		}
	}
	process.http, process.readiness, process.metrics = started.HTTP, started.Readiness, started.Metrics
	node.peerLink.setTarget(started.Peer)
	node.mutex.Lock()
	node.current = process
	node.incarnation++
	node.mutex.Unlock()
	node.down.Store(false)
}

// stopNode ends a node's process with a signal, waits for its exit and keeps its log.
func (w *soakRun) stopNode(node *soakNode, signal syscall.Signal) {
	node.down.Store(true)
	process, _ := node.process()
	_ = process.command.Process.Signal(signal)
	<-process.exited
	w.restarts.Add(1)
	w.keepLog(node, process)
}

// killNodes kills the processes of several nodes at once.
func (w *soakRun) killNodes(nodes []*soakNode) {
	var all sync.WaitGroup
	for _, node := range nodes {
		all.Go(func() { w.stopNode(node, syscall.SIGKILL) })
	}
	all.Wait()
}

// keepLog adds the log of a process to the record of the run.
func (w *soakRun) keepLog(node *soakNode, process *platformNode) {
	process.mutex.Lock()
	defer process.mutex.Unlock()
	w.record.addLog(node.name, process.log.Bytes())
}

func (w *soakRun) isReady(node *soakNode) bool {
	process, _ := node.process()
	response, err := http.Get("http://" + process.readiness + "/-/readyz")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (w *soakRun) awaitReady(node *soakNode) {
	w.t.Helper()
	for end := time.Now().Add(startLimit); !w.isReady(node); time.Sleep(pollInterval) {
		if time.Now().After(end) {
			w.record.fail("RECOVER", "%s did not become ready in time", node.name)
			return
		}
	}
}

// pauseNode suspends a node's process and returns a function that resumes it.
func (w *soakRun) pauseNode(node *soakNode) func() {
	process, _ := node.process()
	node.down.Store(true)
	endDisturbance := w.record.beginDisturbance("")
	_ = process.command.Process.Signal(syscall.SIGSTOP)
	return func() {
		_ = process.command.Process.Signal(syscall.SIGCONT)
		w.recordHeal()
		endDisturbance()
		node.down.Store(false)
	}
}

// recordHeal records that a link or process has just recovered.
func (w *soakRun) recordHeal() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.heals = append(w.heals, time.Now())
}

// startTask starts a background task, which must return once sleep returns false.
func (w *soakRun) startTask(task func()) { w.tasks.Go(task) }

// sleep waits and reports whether the run continues.
func (w *soakRun) sleep(duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-w.done:
		return false
	case <-timer.C:
		return true
	}
}
