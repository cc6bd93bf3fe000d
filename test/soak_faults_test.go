package test

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pathtally/pathtally/internal/jobs/jobstore"
	"github.com/pathtally/pathtally/standin/metastore"
	"github.com/pathtally/pathtally/standin/replica"
)

// soakFault is one kind of fault. It is injected, lasts for a time and is then healed.
type soakFault struct {
	name string
	// inject begins the fault and returns its description and the function that heals it;
	// nil if the fault needs no healing.
	inject func(s *soakRun, random *randomStream) (description string, heal func())
}

// soakFaults are the kinds that a run draws from. Kinds listed more than once are drawn
// more often.
var soakFaults = []soakFault{
	{"node killed", killNode}, {"node stopped as planned", stopNode}, {"node paused", pauseNode}, {"settings changed", changeSettings},
	{"store link", disturbStoreLink}, {"peer link", disturbPeerLink}, {"replica link", disturbReplicaLink},
	{"store", disturbStore}, {"history forgotten", compactStoreHistory}, {"replica faults", corruptReplica}, {"replica crash", crashReplica},
	{"power loss", powerLoss}, {"power loss", powerLoss}, {"power loss", powerLoss}, {"signals that overlap", overlappingSignals},
	{"store slow", slowStore}, {"store slow", slowStore}, {"replica drains", drainReplica}, {"replica vanishes", hideReplicaEntry}, {"configurations", changeConfiguration},
}

// restartDelay is the time between the end of a process and its next start.
const restartDelay = 300 * time.Millisecond

// randomRunningNode draws a running node, or nil for none. It prefers the owner of the
// newest job, since few nodes own all jobs of a model.
func (s *soakRun) randomRunningNode(random *randomStream) *soakNode {
	first := random.intN(len(s.nodes))
	if owner := s.newestOwner(); random.intN(2) == 0 && owner >= 0 {
		first = owner
	}
	for offset := range s.nodes {
		if node := s.nodes[(first+offset)%len(s.nodes)]; !node.down.Load() {
			return node
		}
	}
	return nil
}

// newestOwner returns the number of the node that owns the newest job in the store, or a
// negative number for none.
func (s *soakRun) newestOwner() int {
	jobs := s.store.Objects(jobstore.KindJobs)
	if len(jobs) == 0 {
		return -1
	}
	var record jobstore.Record
	if err := json.Unmarshal(jobs[len(jobs)-1].Spec, &record); err != nil {
		return -1
	}
	return slices.IndexFunc(s.nodes, func(node *soakNode) bool { return node.name == record.Owner.Node })
}

// randomReplica draws a running replica of any service.
func (s *soakRun) randomReplica(random *randomStream) *soakReplica {
	service := "apps"
	if random.intN(2) == 0 {
		service = "engines"
	}
	running := s.ofService(service)
	for len(running) == 0 {
		// All replicas of the service have crashed; their replacements are about to start.
		time.Sleep(superviseInterval)
		running = s.ofService(service)
	}
	return running[random.intN(len(running))]
}

func killNode(s *soakRun, random *randomStream) (string, func()) {
	node := s.randomRunningNode(random)
	if node == nil {
		return "none", nil
	}
	s.endProcess(node, syscall.SIGKILL)
	return node.name, func() {
		time.Sleep(restartDelay)
		s.startNode(node)
	}
}

func stopNode(s *soakRun, random *randomStream) (string, func()) {
	node := s.randomRunningNode(random)
	if node == nil {
		return "none", nil
	}
	s.endProcess(node, syscall.SIGTERM)
	return node.name, func() { s.startNode(node) }
}

func pauseNode(s *soakRun, random *randomStream) (string, func()) {
	node := s.randomRunningNode(random)
	if node == nil {
		return "none", nil
	}
	resume := s.pauseProcess(node)
	extra := time.Duration(0)
	if random.intN(3) == 0 {
		extra = random.duration(0, maxExtraPause)
	}
	return fmt.Sprintf("%s, %s longer", node.name, extra), func() {
		time.Sleep(extra)
		resume()
	}
}

// maxExtraPause is how much longer than other faults a pause may last.
const maxExtraPause = 5 * time.Second

func changeSettings(s *soakRun, random *randomStream) (string, func()) {
	node := s.randomRunningNode(random)
	if node == nil {
		return "none", nil
	}
	process, _ := node.process()
	_ = process.command.Process.Signal(syscall.SIGHUP)
	return node.name, nil
}

// disturb draws and injects a fault of a link.
func (s *soakRun) disturb(random *randomStream, link *proxy, replica, description string) (string, func()) {
	endDisturbance := s.record.beginDisturbance(replica)
	switch random.intN(5) {
	case 0:
		// Its users notice by their own timeouts.
		description += fmt.Sprintf(" silenced for good on %d connections", link.blackhole())
		return description, endDisturbance
	case 1:
		link.set(proxyReset)
		description += " reset"
	case 2:
		link.set(proxyFreeze)
		description += " silenced"
	case 3:
		link.set(proxyOneWay)
		description += " cut one way"
	default:
		link.delay.Store(int64(60 * time.Millisecond))
		description += " delayed"
	}
	return description, func() {
		link.delay.Store(0)
		link.set(proxyPass)
		// Connections in one-way mode have lost bytes.
		link.resetOpen()
		s.recordHeal()
		endDisturbance()
	}
}

func disturbStoreLink(s *soakRun, random *randomStream) (string, func()) {
	node := s.nodes[random.intN(len(s.nodes))]
	return s.disturb(random, node.storeLink, "", node.name)
}

func disturbPeerLink(s *soakRun, random *randomStream) (string, func()) {
	node := s.nodes[random.intN(len(s.nodes))]
	return s.disturb(random, node.peerLink, "", node.name)
}

func disturbReplicaLink(s *soakRun, random *randomStream) (string, func()) {
	disturbed := s.randomReplica(random)
	return s.disturb(random, disturbed.link, disturbed.id, disturbed.id)
}

// disturbStore injects a fault of the store, for all nodes.
func disturbStore(s *soakRun, random *randomStream) (string, func()) {
	kinds := []struct {
		name  string
		fault metastore.Fault
		share int
	}{{"busy", metastore.Refused, 1}, {"silent", metastore.Dropped, 1}, {"answers lost", metastore.ResponseLost, 3}, {"writes late", metastore.Deferred, 3}}
	kind := kinds[random.intN(len(kinds))]
	endDisturbance := s.record.beginDisturbance("")
	s.store.SetFault(func(call metastore.Call) metastore.Fault {
		isWrite := call.Verb == "create" || call.Verb == "replace" || call.Verb == "status"
		if (kind.share > 1 && !isWrite) || random.intN(kind.share) != 0 {
			return metastore.NoFault
		}
		return kind.fault
	})
	return kind.name, func() {
		s.store.SetFault(nil)
		s.store.ApplyDeferred()
		endDisturbance()
	}
}

const (
	// minStoreDelay and maxStoreDelay bound the delay of a slow store call. It is shorter
	// than the nodes' timeout.
	minStoreDelay = 300 * time.Millisecond
	maxStoreDelay = time.Second
)

// slowCalls holds the delayed store calls about jobs. It is safe for concurrent use.
type slowCalls struct {
	mutex sync.Mutex
	// until maps each kind of call, named by job instead of object, to when the last one
	// completes.
	until map[metastore.Call]time.Time
}

// add records a call that is delayed by a time.
func (s *slowCalls) add(call metastore.Call, delay time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.until == nil {
		s.until = map[metastore.Call]time.Time{}
	}
	// Stored parts of a job are named after the job, with a number.
	call.Name = call.Name[:max(0, strings.LastIndexByte(call.Name, '-'))]
	s.until[call] = time.Now().Add(delay)
}

// inProgress reports whether a delayed call about a job is in progress.
func (s *slowCalls) inProgress(kind, verb, job string) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return time.Now().Before(s.until[metastore.Call{Verb: verb, Kind: kind, Name: job}])
}

// slowStore delays store calls, either before or after they take effect. It is not recorded
// as a disturbance, since no call fails.
func slowStore(s *soakRun, random *randomStream) (string, func()) {
	extra := random.duration(0, maxExtraSlowTime)
	s.store.SetDelay(func(call metastore.Call) metastore.Delay {
		delay := random.duration(minStoreDelay, maxStoreDelay)
		s.slowCalls.add(call, delay)
		if random.intN(2) == 0 {
			return metastore.Delay{Before: delay}
		}
		return metastore.Delay{After: delay}
	})
	return fmt.Sprintf("%s longer", extra), func() {
		time.Sleep(extra)
		s.store.SetDelay(nil)
	}
}

// maxExtraSlowTime is how much longer than other faults a slow store may last.
const maxExtraSlowTime = 3 * time.Second

// powerLoss kills all running nodes at once and starts them again, mostly with a store that
// is slow at first.
func powerLoss(s *soakRun, random *randomStream) (string, func()) {
	var killed []*soakNode
	for _, node := range s.nodes {
		if !node.down.Load() {
			killed = append(killed, node)
		}
	}
	isSlow, restartAfter := random.intN(3) > 0, random.duration(0, restartDelay)
	healStore := func() {}
	if isSlow {
		_, healStore = slowStore(s, random)
	}
	s.killNodes(killed)
	return fmt.Sprintf("%d nodes, store slow: %v", len(killed), isSlow), func() {
		time.Sleep(restartAfter)
		s.startNodes(killed)
		if isSlow {
			time.Sleep(slowStoreAfterRestart)
		}
		healStore()
	}
}

// slowStoreAfterRestart is how long the store stays slow after a power loss, so that it is
// still slow when the nodes read jobs.
const slowStoreAfterRestart = 3 * time.Second

// overlappingSignals terminates a node and sends further signals during its shutdown.
func overlappingSignals(s *soakRun, random *randomStream) (string, func()) {
	node := s.randomRunningNode(random)
	if node == nil {
		return "none", nil
	}
	signals := [][]syscall.Signal{
		{syscall.SIGKILL}, {syscall.SIGHUP}, {syscall.SIGHUP, syscall.SIGKILL}, {syscall.SIGTERM}, {syscall.SIGSTOP, syscall.SIGCONT},
		{syscall.SIGSTOP, syscall.SIGKILL}, {syscall.SIGHUP, syscall.SIGSTOP, syscall.SIGCONT, syscall.SIGHUP},
	}[random.intN(7)]
	process, _ := node.process()
	node.down.Store(true)
	endDisturbance := s.record.beginDisturbance("")
	_ = process.command.Process.Signal(syscall.SIGTERM)
	for _, next := range signals {
		time.Sleep(random.duration(0, maxSignalInterval))
		_ = process.command.Process.Signal(next)
		if next == syscall.SIGCONT {
			s.recordHeal()
		}
	}
	return fmt.Sprintf("%s terminated, then %v", node.name, signals), func() {
		<-process.exited
		endDisturbance()
		s.restarts.Add(1)
		s.keepLog(node, process)
		s.startNode(node)
	}
}

// maxSignalInterval bounds the time between signals; a graceful shutdown takes about as
// long.
const maxSignalInterval = 1500 * time.Millisecond

func compactStoreHistory(s *soakRun, random *randomStream) (string, func()) {
	s.store.CompactHistory()
	return "", nil
}

func corruptReplica(s *soakRun, random *randomStream) (string, func()) {
	corrupted := s.randomReplica(random)
	corrupted.server.SetFaults(replica.Faults{TruncateEvery: 3, ExtraResponseEvery: 4, WrongIDEvery: 5, RepeatRejectionEvery: 1})
	return corrupted.id, func() { corrupted.server.SetFaults(replica.Faults{}) }
}

// crashReplica ends a replica. Later its entry is removed and another replica starts.
func crashReplica(s *soakRun, random *randomStream) (string, func()) {
	crashed := s.randomReplica(random)
	s.removeReplica(crashed)
	crashed.server.Close()
	crashed.link.set(proxyReset)
	return crashed.id, func() {
		s.store.Remove("servers", crashed.id)
		s.addReplica(crashed.service)
	}
}

// drainReplica marks a replica as draining after starting another one.
func drainReplica(s *soakRun, random *randomStream) (string, func()) {
	draining := s.randomReplica(random)
	s.addReplica(draining.service)
	s.store.Write("servers", draining.id, draining.entry("draining"))
	s.mutex.Lock()
	draining.drainedAt = time.Now()
	s.mutex.Unlock()
	return draining.id, func() {
		time.Sleep(serveAfterDrain)
		s.store.Remove("servers", draining.id)
		draining.server.Close()
		s.removeReplica(draining)
	}
}

// serveAfterDrain is how long a draining replica still serves after the duration of the fault.
const serveAfterDrain = 2500 * time.Millisecond

// hideReplicaEntry removes the entry of a running replica for a while.
func hideReplicaEntry(s *soakRun, random *randomStream) (string, func()) {
	hidden := s.randomReplica(random)
	s.store.Remove("servers", hidden.id)
	return hidden.id, func() {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		for _, candidate := range s.replicas {
			if candidate == hidden && hidden.drainedAt.IsZero() {
				s.store.Write("servers", hidden.id, hidden.entry("ready"))
			}
		}
	}
}

// changeConfiguration writes several configuration versions in quick succession.
func changeConfiguration(s *soakRun, random *randomStream) (string, func()) {
	count := 1 + random.intN(6)
	for range count {
		s.configure()
		time.Sleep(60 * time.Millisecond)
	}
	return fmt.Sprint(count), nil
}
