package test

import (
	"fmt"
	"syscall"
	"time"

	"github.com/pathtally/pathtally/standin/metastore"
	"github.com/pathtally/pathtally/standin/replica"
)

// soakFault is a kind of trouble. It begins, lasts for a time and is mended.
type soakFault struct {
	name string
	// inject begins the fault and returns what mends it; nil mends itself.
	inject func(w *soakWorld) (what string, mend func())
}

// soakFaults are the kinds that a run draws from.
var soakFaults = []soakFault{
	{"node killed", killNode}, {"node stopped as planned", stopNode}, {"node paused", pauseNode}, {"settings changed", changeSettings},
	{"store link", disturbStoreLink}, {"peer link", disturbPeerLink}, {"replica link", disturbReplicaLink},
	{"store", disturbStore}, {"history forgotten", forgetHistory}, {"replica faults", spoilReplica}, {"replica crash", crashReplica},
	{"replica drains", drainReplica}, {"replica vanishes", vanishReplica}, {"configurations", changeConfiguration},
}

// restartPause is the time between the end of a process and its next start.
const restartPause = 300 * time.Millisecond

// anyNode draws a node that runs.
func (w *soakWorld) anyNode() *soakNode {
	first := w.chance(len(w.nodes))
	for offset := range w.nodes {
		if node := w.nodes[(first+offset)%len(w.nodes)]; !node.down.Load() {
			return node
		}
	}
	return nil
}

// anyReplica draws a living replica of any service.
func (w *soakWorld) anyReplica() *soakReplica {
	service := "apps"
	if w.chance(2) == 0 {
		service = "engines"
	}
	living := w.ofService(service)
	return living[w.chance(len(living))]
}

func killNode(w *soakWorld) (string, func()) {
	node := w.anyNode()
	if node == nil {
		return "none", nil
	}
	w.stopNode(node, syscall.SIGKILL)
	return node.name, func() {
		time.Sleep(restartPause)
		w.startNode(node)
	}
}

func stopNode(w *soakWorld) (string, func()) {
	node := w.anyNode()
	if node == nil {
		return "none", nil
	}
	w.stopNode(node, syscall.SIGTERM)
	return node.name, func() { w.startNode(node) }
}

func pauseNode(w *soakWorld) (string, func()) {
	node := w.anyNode()
	if node == nil {
		return "none", nil
	}
	process, _ := node.process()
	node.down.Store(true)
	_ = process.command.Process.Signal(syscall.SIGSTOP)
	return node.name, func() {
		_ = process.command.Process.Signal(syscall.SIGCONT)
		w.noteHeal()
		node.down.Store(false)
	}
}

func changeSettings(w *soakWorld) (string, func()) {
	node := w.anyNode()
	if node == nil {
		return "none", nil
	}
	process, _ := node.process()
	_ = process.command.Process.Signal(syscall.SIGHUP)
	return node.name, nil
}

// disturb draws what happens to a link.
func (w *soakWorld) disturb(link *proxy, whose string) (string, func()) {
	switch w.chance(4) {
	case 0:
		link.set(proxyCut)
		whose += " reset"
	case 1:
		link.set(proxyFreeze)
		whose += " silenced"
	case 2:
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
		w.noteHeal()
	}
}

func disturbStoreLink(w *soakWorld) (string, func()) {
	node := w.nodes[w.chance(len(w.nodes))]
	return w.disturb(node.storeLink, node.name)
}

func disturbPeerLink(w *soakWorld) (string, func()) {
	node := w.nodes[w.chance(len(w.nodes))]
	return w.disturb(node.peerLink, node.name)
}

func disturbReplicaLink(w *soakWorld) (string, func()) {
	disturbed := w.anyReplica()
	return w.disturb(disturbed.link, disturbed.id)
}

// disturbStore makes the store itself misbehave for everybody.
func disturbStore(w *soakWorld) (string, func()) {
	kinds := []struct {
		name  string
		fault metastore.Fault
		share int
	}{{"busy", metastore.Refused, 1}, {"silent", metastore.Silent, 1}, {"answers lost", metastore.Unanswered, 3}, {"writes late", metastore.Late, 3}}
	drawn := kinds[w.chance(len(kinds))]
	w.store.SetFault(func(call metastore.Call) metastore.Fault {
		isWrite := call.Verb == "create" || call.Verb == "replace" || call.Verb == "status"
		if (drawn.share > 1 && !isWrite) || w.chance(drawn.share) != 0 {
			return metastore.Sound
		}
		return drawn.fault
	})
	return drawn.name, func() {
		w.store.SetFault(nil)
		w.store.ApplyLate()
	}
}

func forgetHistory(w *soakWorld) (string, func()) {
	w.store.Forget()
	return "", nil
}

func spoilReplica(w *soakWorld) (string, func()) {
	spoiled := w.anyReplica()
	spoiled.server.SetFaults(replica.Faults{CutEvery: 3, SurplusEvery: 4, WrongIDEvery: 5})
	return spoiled.id, func() { spoiled.server.SetFaults(replica.Faults{}) }
}

// crashReplica ends a replica; its entry lapses later and another one comes.
func crashReplica(w *soakWorld) (string, func()) {
	crashed := w.anyReplica()
	w.retire(crashed)
	crashed.server.Close()
	crashed.link.set(proxyCut)
	return crashed.id, func() {
		w.store.Remove("servers", crashed.id)
		w.addReplica(crashed.service)
	}
}

// drainReplica has a replica say that it leaves; another one comes first.
func drainReplica(w *soakWorld) (string, func()) {
	leaving := w.anyReplica()
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
func vanishReplica(w *soakWorld) (string, func()) {
	vanished := w.anyReplica()
	w.store.Remove("servers", vanished.id)
	return vanished.id, func() {
		w.mutex.Lock()
		defer w.mutex.Unlock()
		for _, standing := range w.replicas {
			if standing == vanished && vanished.drainedAt.IsZero() {
				w.store.Write("servers", vanished.id, vanished.entry("ready"))
			}
		}
	}
}

// changeConfiguration writes several versions in quick succession.
func changeConfiguration(w *soakWorld) (string, func()) {
	count := 1 + w.chance(6)
	for range count {
		w.configure()
		time.Sleep(60 * time.Millisecond)
	}
	return fmt.Sprint(count), nil
}
