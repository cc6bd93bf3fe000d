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

	"github.com/pathtally/pathtally/internal/jobs/jobstore"
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
	t      *testing.T
	seed   uint64
	folder string
	// nodeIP is the address of the nodes.
	nodeIP       string
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
	s := &soakRun{
		t: t, seed: seed, folder: t.TempDir(), nodeIP: newNodeIP(), store: metastore.New(), weightVersion: 1,
		record: newSoakRecord(), done: make(chan struct{}),
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: &metastore.Server{Store: s.store}}
	go server.Serve(listener)
	t.Cleanup(func() { server.Close() })
	s.storeAddress = listener.Addr().String()
	s.writeHistory()
	for range soakEngines {
		s.addReplica("engines")
	}
	for range soakApps {
		s.addReplica("apps")
	}
	s.configure()
	for number := range drawSpec(seed).nodes {
		s.nodes = append(s.nodes, &soakNode{
			name: fmt.Sprintf("node-%d", number), storeLink: newProxy(t, s.storeAddress), peerLink: newProxy(t, s.storeAddress),
		})
	}
	s.startNodes(s.nodes)
	for _, node := range s.nodes {
		s.awaitReady(node)
	}
	return s
}

// startNodes starts several nodes at once.
// soakHistory is the number of batch jobs that ended before a run, some pages of a listing.
const soakHistory = 400

// writeHistory stores what an old deployment has: jobs that ended long ago, and a record that can't be
// decoded. Their names lie between those of the run's jobs.
func (s *soakRun) writeHistory() {
	s.t.Helper()
	jobs := jobstore.New(s.store)
	for number := range soakHistory {
		id := fmt.Sprintf("%c-old-%04d", 'a'+rune(number%26), number)
		s.store.Write(jobstore.KindJobs, id, jobstore.Record{Epoch: 1, Route: "drafts", Host: draftHost, Owner: jobstore.Owner{Node: "gone", Incarnation: 1}})
		if _, err := jobs.End(s.t.Context(), id); err != nil {
			s.t.Fatal(err)
		}
	}
	s.store.WriteRaw(jobstore.KindJobs, "invalid", []byte(`{"owner":7}`))
}

func (s *soakRun) startNodes(nodes []*soakNode) {
	var all sync.WaitGroup
	for _, node := range nodes {
		all.Go(func() { s.startNode(node) })
	}
	all.Wait()
}

// randomNode draws a node, running or not.
func (s *soakRun) randomNode(random *randomStream) *soakNode {
	return s.nodes[random.intN(len(s.nodes))]
}

// addReplica starts a replica under a new id and writes its entry to the store.
func (s *soakRun) addReplica(service string) { s.startReplica(service, "") }

// startReplica starts a replica and writes its entry to the store. An empty id stands
// for a new one.
func (s *soakRun) startReplica(service, id string) {
	s.mutex.Lock()
	s.replicasStarted++
	if id == "" {
		id = fmt.Sprintf("%s-%d", service, s.replicasStarted)
	}
	random := newRandomStream(s.seed, streamReplicas+uint64(s.replicasStarted))
	zone := soakZones[s.replicasStarted%len(soakZones)]
	s.mutex.Unlock()
	config := replica.Config{ID: id, Slots: 16, ServiceTime: 3 * time.Millisecond}
	if service == "engines" {
		config = replica.Config{ID: id, Slots: engineSlots, Model: draftModel, EventInterval: random.duration(minEventInterval, maxEventInterval), LoadTime: 150 * time.Millisecond}
	}
	started := &soakReplica{id: id, service: service, zone: zone}
	config.CrashOn, config.CrashAfter, config.StartedMs = crashingText, crashAfter, time.Now().UnixMilli()
	config.OnCrash = func() { started.link.close() }
	server, err := replica.Start(config)
	if err != nil {
		s.t.Error(err)
		return
	}
	started.server, started.link = server, newProxy(s.t, server.Address())
	s.t.Cleanup(server.Close)
	s.store.Write("servers", id, started.entry("ready"))
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.replicas = append(s.replicas, started)
}

func (r *soakReplica) entry(state string) map[string]any {
	entry := r.server.Entry(r.service, r.zone)
	entry["address"], entry["state"] = r.link.address(), state
	return entry
}

// ofService returns the running replicas of a service that do not drain.
func (s *soakRun) ofService(service string) []*soakReplica {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var found []*soakReplica
	for _, candidate := range s.replicas {
		if candidate.service == service && candidate.drainedAt.IsZero() {
			found = append(found, candidate)
		}
	}
	return found
}

// removeReplica moves a replica to formerReplicas.
func (s *soakRun) removeReplica(ended *soakReplica) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for number, candidate := range s.replicas {
		if candidate == ended {
			s.replicas = append(s.replicas[:number:number], s.replicas[number+1:]...)
			s.formerReplicas = append(s.formerReplicas, ended)
			return
		}
	}
}

// allReplicas returns the running replicas and those that have ended.
func (s *soakRun) allReplicas() []*soakReplica {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return append(append([]*soakReplica(nil), s.replicas...), s.formerReplicas...)
}

// configure writes the next version of the configuration. Each version adds a route, which
// the next version keeps and the one after it drops.
func (s *soakRun) configure() {
	s.mutex.Lock()
	s.configVersion++
	version := s.configVersion
	s.mutex.Unlock()
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
	s.store.Write("config", "main", map[string]any{
		"version": version, "routes": routes,
		"services": []map[string]any{
			{"name": "engines", "maxConns": 100, "engine": map[string]any{"slots": engineSlots, "models": []map[string]any{{"name": draftModel}}}},
			{"name": "apps", "maxConns": 100},
		},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 1 << 20, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.configuredAt = time.Now()
}

func versionPath(version int) string { return fmt.Sprintf("/version-%d/", version) }

// newestConfigVersion returns the newest configuration version and when it was written.
func (s *soakRun) newestConfigVersion() (int, time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.configVersion, s.configuredAt
}

// soakRuns counts the runs of this process.
var soakRuns atomic.Int32

// newNodeIP returns a loopback address for the nodes of one run. A node that restarts leaves its ports
// free; at an address of their own, neither a replica nor a run beside this one can take them, and
// get the requests of callers who still use them.
func newNodeIP() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", soakRuns.Add(1), pid>>8&0xff, pid&0xff)
}

// startNode starts a new process of a node.
func (s *soakRun) startNode(node *soakNode) {
	s.t.Helper()
	path := filepath.Join(s.folder, node.name+".yaml")
	settings := fmt.Sprintf("node: %s\nzone: zone-a\nregion: region\nhttp: %[2]s:0\npeer: %[2]s:0\npeerAdvertised: %[3]s\n"+
		"readiness: %[2]s:0\nmetrics: %[2]s:0\nobjectStore: %[4]s\ngrace: %[5]s\ndutyLease: 3s\ndrain: 2s\nmemoryMB: 200\nevacuationBound: 3s\n",
		node.name, s.nodeIP, node.peerLink.address(), node.storeLink.address(), soakGrace)
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		s.t.Error(err)
		return
	}
	process := &platformNode{program: start(s.t, 0, "pathtally", "node", "-settings", path)}
	go process.collect()
	var started struct{ HTTP, Readiness, Metrics, Peer string }
	for deadline := time.Now().Add(waitTimeout); ; time.Sleep(pollInterval) {
		line := process.find(`"node started"`)
		if line != nil && json.Unmarshal(line, &started) == nil {
			break
		}
		if time.Now().After(deadline) {
			s.t.Errorf("%s did not start in time", node.name)
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

// endProcess ends a node's process with a signal, waits for its exit and keeps its log.
func (s *soakRun) endProcess(node *soakNode, signal syscall.Signal) {
	node.down.Store(true)
	process, _ := node.process()
	_ = process.command.Process.Signal(signal)
	<-process.exited
	s.restarts.Add(1)
	s.keepLog(node, process)
}

// killNodes kills the processes of several nodes at once.
func (s *soakRun) killNodes(nodes []*soakNode) {
	var all sync.WaitGroup
	for _, node := range nodes {
		all.Go(func() { s.endProcess(node, syscall.SIGKILL) })
	}
	all.Wait()
}

// keepLog adds the log of a process to the record of the run.
func (s *soakRun) keepLog(node *soakNode, process *platformNode) {
	process.mutex.Lock()
	defer process.mutex.Unlock()
	s.record.addLog(node.name, process.log.Bytes())
}

func (s *soakRun) isReady(node *soakNode) bool {
	process, _ := node.process()
	response, err := http.Get("http://" + process.readiness + "/-/readyz")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (s *soakRun) awaitReady(node *soakNode) {
	s.t.Helper()
	for deadline := time.Now().Add(waitTimeout); !s.isReady(node); time.Sleep(pollInterval) {
		if time.Now().After(deadline) {
			s.record.fail("RECOVER", "%s did not become ready in time", node.name)
			return
		}
	}
}

// pauseProcess stops a node's process with SIGSTOP and returns a function that resumes it.
func (s *soakRun) pauseProcess(node *soakNode) func() {
	process, _ := node.process()
	node.down.Store(true)
	endDisturbance := s.record.beginDisturbance("")
	_ = process.command.Process.Signal(syscall.SIGSTOP)
	return func() {
		_ = process.command.Process.Signal(syscall.SIGCONT)
		s.recordHeal()
		endDisturbance()
		node.down.Store(false)
	}
}

// recordHeal records that a link or process has just recovered.
func (s *soakRun) recordHeal() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.heals = append(s.heals, time.Now())
}

// startTask starts a background task, which must return once sleep returns false.
func (s *soakRun) startTask(task func()) { s.tasks.Go(task) }

// sleep waits and reports whether the run continues.
func (s *soakRun) sleep(duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-s.done:
		return false
	case <-timer.C:
		return true
	}
}
