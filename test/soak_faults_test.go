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

// soakFault is a kind of trouble. It begins, lasts for a time and is mended.
type soakFault struct {
	name string
	// inject begins the fault and returns what mends it; nil mends itself.
	inject func(w *soakWorld, from *draws) (what string, mend func())
}

// soakFaults are the kinds that a run draws from; some are listed more than once
// to be drawn more often.
var soakFaults = []soakFault{
	{"node killed", killNode}, {"node stopped as planned", stopNode}, {"node paused", pauseNode}, {"settings changed", changeSettings},
	{"store link", disturbStoreLink}, {"peer link", disturbPeerLink}, {"replica link", disturbReplicaLink},
	{"store", disturbStore}, {"history forgotten", forgetHistory}, {"replica faults", spoilReplica}, {"replica crash", crashReplica},
	{"power loss", powerLoss}, {"power loss", powerLoss}, {"power loss", powerLoss}, {"signals that overlap", signalSeries},
	{"store slow", slowStore}, {"store slow", slowStore}, {"replica drains", drainReplica}, {"replica vanishes", vanishReplica}, {"configurations", changeConfiguration},
}

// restartPause is the time between the end of a process and its next start.
const restartPause = 300 * time.Millisecond

// anyNode draws a node that runs, more often than others the one with the newest
// job: all jobs of a model are run by few nodes.
func (w *soakWorld) anyNode(from *draws) *soakNode {
	first := from.chance(len(w.nodes))
	if owner := w.newestOwner(); from.chance(2) == 0 && owner >= 0 {
		first = owner
	}
	for offset := range w.nodes {
		if node := w.nodes[(first+offset)%len(w.nodes)]; !node.down.Load() {
			return node
		}
	}
	return nil
}

// newestOwner is the number of the node that owns the newest job as the store
// has it, below 0 for none.
func (w *soakWorld) newestOwner() int {
	jobs := w.store.Objects(jobstore.KindJobs)
	if len(jobs) == 0 {
		return -1
	}
	var record jobstore.Record
	if err := json.Unmarshal(jobs[len(jobs)-1].Spec, &record); err != nil {
		return -1
	}
	return slices.IndexFunc(w.nodes, func(node *soakNode) bool { return node.name == record.Owner.Node })
}

// anyReplica draws a living replica of any service.
func (w *soakWorld) anyReplica(from *draws) *soakReplica {
	service := "apps"
	if from.chance(2) == 0 {
		service = "engines"
	}
	living := w.ofService(service)
	for len(living) == 0 {
		// All have ended under requests: their successors are about to start.
		time.Sleep(supervisePause)
		living = w.ofService(service)
	}
	return living[from.chance(len(living))]
}

func killNode(w *soakWorld, from *draws) (string, func()) {
	node := w.anyNode(from)
	if node == nil {
		return "none", nil
	}
	w.stopNode(node, syscall.SIGKILL)
	return node.name, func() {
		time.Sleep(restartPause)
		w.startNode(node)
	}
}

func stopNode(w *soakWorld, from *draws) (string, func()) {
	node := w.anyNode(from)
	if node == nil {
		return "none", nil
	}
	w.stopNode(node, syscall.SIGTERM)
	return node.name, func() { w.startNode(node) }
}

func pauseNode(w *soakWorld, from *draws) (string, func()) {
	node := w.anyNode(from)
	if node == nil {
		return "none", nil
	}
	wake := w.pauseProcess(node)
	further := time.Duration(0)
	if from.chance(3) == 0 {
		further = from.span(0, longestPause)
	}
	return fmt.Sprintf("%s, %s longer", node.name, further), func() {
		time.Sleep(further)
		wake()
	}
}

// longestPause is what a pause may last beyond the time of a fault, so that some
// last for nine seconds.
const longestPause = 5 * time.Second

func changeSettings(w *soakWorld, from *draws) (string, func()) {
	node := w.anyNode(from)
	if node == nil {
		return "none", nil
	}
	process, _ := node.process()
	_ = process.command.Process.Signal(syscall.SIGHUP)
	return node.name, nil
}

// disturb draws what happens to a link.
func (w *soakWorld) disturb(from *draws, link *proxy, replica, whose string) (string, func()) {
	seen := w.record.hide(replica)
	switch from.chance(5) {
	case 0:
		// Those who use it notice by their own bounds.
		whose += fmt.Sprintf(" silenced for good on %d connections", link.silence())
		return whose, seen
	case 1:
		link.set(proxyCut)
		whose += " reset"
	case 2:
		link.set(proxyFreeze)
		whose += " silenced"
	case 3:
		link.set(proxyOneWay)
		whose += " cut one way"
	default:
		link.delay.Store(int64(60 * time.Millisecond))
		whose += " delayed"
	}
	return whose, func() {
		link.delay.Store(0)
		link.set(proxyPass)
		// Bytes were lost on connections that were cut one way.
		link.resetOpen()
		w.recordHeal()
		seen()
	}
}

func disturbStoreLink(w *soakWorld, from *draws) (string, func()) {
	node := w.nodes[from.chance(len(w.nodes))]
	return w.disturb(from, node.storeLink, "", node.name)
}

func disturbPeerLink(w *soakWorld, from *draws) (string, func()) {
	node := w.nodes[from.chance(len(w.nodes))]
	return w.disturb(from, node.peerLink, "", node.name)
}

func disturbReplicaLink(w *soakWorld, from *draws) (string, func()) {
	disturbed := w.anyReplica(from)
	return w.disturb(from, disturbed.link, disturbed.id, disturbed.id)
}

// disturbStore makes the store itself misbehave for everybody.
func disturbStore(w *soakWorld, from *draws) (string, func()) {
	kinds := []struct {
		name  string
		fault metastore.Fault
		share int
	}{{"busy", metastore.Refused, 1}, {"silent", metastore.Silent, 1}, {"answers lost", metastore.Unanswered, 3}, {"writes late", metastore.Late, 3}}
	drawn := kinds[from.chance(len(kinds))]
	seen := w.record.hide("")
	w.store.SetFault(func(call metastore.Call) metastore.Fault {
		isWrite := call.Verb == "create" || call.Verb == "replace" || call.Verb == "status"
		if (drawn.share > 1 && !isWrite) || from.chance(drawn.share) != 0 {
			return metastore.Sound
		}
		return drawn.fault
	})
	return drawn.name, func() {
		w.store.SetFault(nil)
		w.store.ApplyLate()
		seen()
	}
}

const (
	// fastestAnswer and slowestAnswer are what a slow store takes for an answer.
	// Nodes wait longer than that for one.
	fastestAnswer = 300 * time.Millisecond
	slowestAnswer = time.Second
)

// slowCalls are the store's slow calls about jobs. It is safe for use by many
// goroutines.
type slowCalls struct {
	mutex sync.Mutex
	// until is when the last one of a kind will be answered.
	until map[metastore.Call]time.Time
}

// add records a call that is answered after a time.
func (s *slowCalls) add(call metastore.Call, takes time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.until == nil {
		s.until = map[metastore.Call]time.Time{}
	}
	// Names of parts are those of their jobs with a number.
	call.Name = call.Name[:max(0, strings.LastIndexByte(call.Name, '-'))]
	s.until[call] = time.Now().Add(takes)
}

// isOn tells whether a call about a job is under way.
func (s *slowCalls) isOn(kind, verb, job string) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return time.Now().Before(s.until[metastore.Call{Verb: verb, Kind: kind, Name: job}])
}

// slowStore has the store answer late, having carried the call out before or
// after that time. Nobody is hidden by it.
func slowStore(w *soakWorld, from *draws) (string, func()) {
	further := from.span(0, longestSlow)
	w.store.SetDelay(func(call metastore.Call) metastore.Delay {
		takes := from.span(fastestAnswer, slowestAnswer)
		w.slow.add(call, takes)
		if from.chance(2) == 0 {
			return metastore.Delay{Before: takes}
		}
		return metastore.Delay{After: takes}
	})
	return fmt.Sprintf("%s longer", further), func() {
		time.Sleep(further)
		w.store.SetDelay(nil)
	}
}

// longestSlow is how much longer than other faults a slow store may last.
const longestSlow = 3 * time.Second

// powerLoss kills all nodes that run at once and starts them again, mostly before
// a store that is slow at first.
func powerLoss(w *soakWorld, from *draws) (string, func()) {
	var killed []*soakNode
	for _, node := range w.nodes {
		if !node.down.Load() {
			killed = append(killed, node)
		}
	}
	isSlow, pause := from.chance(3) > 0, from.span(0, restartPause)
	mendStore := func() {}
	if isSlow {
		_, mendStore = slowStore(w, from)
	}
	w.killNodes(killed)
	return fmt.Sprintf("%d nodes, store slow: %v", len(killed), isSlow), func() {
		time.Sleep(pause)
		w.startNodes(killed)
		if isSlow {
			time.Sleep(slowAfterRestart)
		}
		mendStore()
	}
}

// slowAfterRestart is for how long the store stays slow after a power loss at the
// least: nodes need some of its answers until they read jobs.
const slowAfterRestart = 3 * time.Second

// signalSeries stops a node by signals that overlap.
func signalSeries(w *soakWorld, from *draws) (string, func()) {
	node := w.anyNode(from)
	if node == nil {
		return "none", nil
	}
	further := [][]syscall.Signal{
		{syscall.SIGKILL}, {syscall.SIGHUP}, {syscall.SIGHUP, syscall.SIGKILL}, {syscall.SIGTERM}, {syscall.SIGSTOP, syscall.SIGCONT},
		{syscall.SIGSTOP, syscall.SIGKILL}, {syscall.SIGHUP, syscall.SIGSTOP, syscall.SIGCONT, syscall.SIGHUP},
	}[from.chance(7)]
	process, _ := node.process()
	node.down.Store(true)
	seen := w.record.hide("")
	_ = process.command.Process.Signal(syscall.SIGTERM)
	for _, next := range further {
		time.Sleep(from.span(0, longestBetween))
		_ = process.command.Process.Signal(next)
		if next == syscall.SIGCONT {
			w.recordHeal()
		}
	}
	return fmt.Sprintf("%s terminated, then %v", node.name, further), func() {
		<-process.exited
		seen()
		w.restarts.Add(1)
		w.keepLog(node, process)
		w.startNode(node)
	}
}

// longestBetween is the time between signals of a series at most: a planned stop
// takes about as long.
const longestBetween = 1500 * time.Millisecond

func forgetHistory(w *soakWorld, from *draws) (string, func()) {
	w.store.Forget()
	return "", nil
}

func spoilReplica(w *soakWorld, from *draws) (string, func()) {
	spoiled := w.anyReplica(from)
	spoiled.server.SetFaults(replica.Faults{CutEvery: 3, SurplusEvery: 4, WrongIDEvery: 5})
	return spoiled.id, func() { spoiled.server.SetFaults(replica.Faults{}) }
}

// crashReplica ends a replica; its entry lapses later and another one comes.
func crashReplica(w *soakWorld, from *draws) (string, func()) {
	crashed := w.anyReplica(from)
	w.retire(crashed)
	crashed.server.Close()
	crashed.link.set(proxyCut)
	return crashed.id, func() {
		w.store.Remove("servers", crashed.id)
		w.addReplica(crashed.service)
	}
}

// drainReplica has a replica say that it leaves; another one comes first.
func drainReplica(w *soakWorld, from *draws) (string, func()) {
	leaving := w.anyReplica(from)
	w.addReplica(leaving.service)
	w.store.Write("servers", leaving.id, leaving.entry("draining"))
	w.mutex.Lock()
	leaving.drainedAt = time.Now()
	w.mutex.Unlock()
	return leaving.id, func() {
		time.Sleep(drainServes)
		w.store.Remove("servers", leaving.id)
		leaving.server.Close()
		w.retire(leaving)
	}
}

// drainServes is how much longer a leaving replica serves after the time that
// the fault lasts.
const drainServes = 2500 * time.Millisecond

// vanishReplica takes a living replica's entry away for a while.
func vanishReplica(w *soakWorld, from *draws) (string, func()) {
	vanished := w.anyReplica(from)
	w.store.Remove("servers", vanished.id)
	return vanished.id, func() {
		w.mutex.Lock()
		defer w.mutex.Unlock()
		for _, candidate := range w.replicas {
			if candidate == vanished && vanished.drainedAt.IsZero() {
				w.store.Write("servers", vanished.id, vanished.entry("ready"))
			}
		}
	}
}

// changeConfiguration writes several versions in quick succession.
func changeConfiguration(w *soakWorld, from *draws) (string, func()) {
	count := 1 + from.chance(6)
	for range count {
		w.configure()
		time.Sleep(60 * time.Millisecond)
	}
	return fmt.Sprint(count), nil
}
