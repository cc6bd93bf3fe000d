package sim

import (
	"fmt"
	"slices"
	"time"

	v1 "github.com/pathtally/pathtally/api/v1"
	"github.com/pathtally/pathtally/internal/environment"
)

// Kinds of faults.
const (
	FaultKill       = "node killed and replaced"
	FaultPause      = "node paused past its leases"
	FaultStop       = "node stopped as planned and replaced"
	FaultPartition  = "node cut off"
	FaultOneWay     = "one-way cut"
	FaultEngineLink = "link to an engine cut"
	FaultLossy      = "lossy, late and doubled messages"
	FaultDisk       = "node replaced with an empty disk"
	FaultOutage     = "object API down"
	FaultSlowAPI    = "object API slow"
	FaultLostAnswer = "object API answers lost"
	FaultCrash      = "engine crashed and restarted"
	FaultDrain      = "engine drained and replaced"
	FaultFailSwap   = "weight swap without effect"
	FaultAdmission  = "engine admissions without answer"
	FaultTrainer    = "trainer crashed and restarted"
	FaultBound      = "staleness bound tightened"
	FaultMachines   = "machine list flaps"
	FaultZone       = "zone's nodes killed together"
)

// fault starts a fault and returns what ends it.
type fault struct {
	kind   string
	inject func(w *World) (heal func())
}

var faults = []fault{
	{FaultKill, func(w *World) func() { n := w.randomNode(); n.Kill(); return n.restart }},
	{FaultPause, func(w *World) func() {
		n := w.randomNode()
		n.host.Pause()
		w.Trace("node %s paused", n.host.Name)
		return func() { w.Trace("node %s woke", n.host.Name); n.host.Resume() }
	}},
	{FaultStop, func(w *World) func() {
		n := w.randomNode()
		stopped := false
		n.Stop(func() { stopped = true })
		return func() {
			if !stopped {
				w.Scheduler.After(stopGrace+20*time.Second, n.restart)
				return
			}
			n.restart()
		}
	}},
	{FaultPartition, func(w *World) func() { return w.cutAround(w.randomNode(), true) }},
	{FaultOneWay, func(w *World) func() { return w.cutAround(w.randomNode(), false) }},
	{FaultEngineLink, func(w *World) func() { return w.cutEngine(w.randomNode(), w.randomEngine()) }},
	{FaultLossy, func(w *World) func() {
		w.Network.Loss, w.Network.Duplicate, w.Network.Slow, w.Network.SlowBy = 0.1, 0.1, 0.2, 700*time.Millisecond
		return func() { w.Network.Loss, w.Network.Duplicate, w.Network.Slow = 0, 0, 0 }
	}},
	{FaultDisk, func(w *World) func() {
		n := w.Nodes[w.Scheduler.Random.IntN(3)]
		n.Kill()
		n.disk.Lose()
		return n.restart
	}},
	{FaultOutage, func(w *World) func() { w.Platform.Outage = true; return func() { w.Platform.Outage = false } }},
	{FaultSlowAPI, func(w *World) func() {
		w.Platform.Slow = 900 * time.Millisecond
		return func() { w.Platform.Slow = 0 }
	}},
	{FaultLostAnswer, func(w *World) func() {
		w.Platform.LoseAnswer, w.Platform.LoseRequest = 0.3, 0.1
		return func() { w.Platform.LoseAnswer, w.Platform.LoseRequest = 0, 0 }
	}},
	{FaultCrash, func(w *World) func() { e := w.randomEngine(); e.Crash(); return e.restart }},
	{FaultDrain, func(w *World) func() { e := w.randomEngine(); e.Drain(); return func() { e.Crash(); e.restart() } }},
	{FaultFailSwap, func(w *World) func() { e := w.randomEngine(); e.FailSwaps = 2; return func() {} }},
	{FaultAdmission, func(w *World) func() { w.lossy = 0.2; return func() { w.lossy = 0 } }},
	{FaultTrainer, func(w *World) func() {
		w.Trainer.Crash()
		return func() {
			if !w.Trainer.host.alive {
				w.Trainer.Start()
			}
		}
	}},
	{FaultBound, func(w *World) func() {
		w.setBound(1)
		return func() { w.setBound(w.config.Bound) }
	}},
	{FaultMachines, func(w *World) func() {
		e := w.randomEngine()
		w.Platform.SetMachine(environment.Machine{ID: "machine-" + e.host.Name, Address: e.host.Name, State: environment.MachineLeaving})
		return func() {
			w.Platform.SetMachine(environment.Machine{ID: "replaced-" + e.host.Name, Address: e.host.Name, State: environment.MachineLive})
		}
	}},
	{FaultZone, func(w *World) func() {
		return w.killZone(w.randomNode().host.Zone)
	}},
}

func (n *Node) restart() {
	if !n.host.alive {
		n.Start()
	}
}

func (e *Engine) restart() {
	if !e.host.alive {
		e.Start()
	}
}

func (w *World) randomNode() *Node { return w.Nodes[w.Scheduler.Random.IntN(len(w.Nodes))] }

func (w *World) randomEngine() *Engine {
	return w.Engines[w.order[w.Scheduler.Random.IntN(len(w.order))]]
}

// cutAround cuts a node off from the others, both ways or only from it.
func (w *World) cutAround(victim *Node, both bool) func() {
	name := victim.host.Name
	w.Trace("node %s cut off, both ways %v", name, both)
	for _, other := range w.Nodes {
		if other != victim {
			w.Network.Cut(name, other.host.Name)
			if both {
				w.Network.Cut(other.host.Name, name)
			}
		}
	}
	return func() {
		w.Trace("node %s reachable again", name)
		for _, other := range w.Nodes {
			if other != victim {
				w.Network.Heal(name, other.host.Name)
				if both {
					w.Network.Heal(other.host.Name, name)
				}
			}
		}
	}
}

// cutEngine cuts the link between a node and an engine, in the middle of
// whatever streams there are.
func (w *World) cutEngine(n *Node, e *Engine) func() {
	w.Trace("link between %s and %s cut", n.host.Name, e.host.Name)
	w.Network.Cut(n.host.Name, e.host.Name)
	w.Network.Cut(e.host.Name, n.host.Name)
	return func() {
		w.Network.Heal(n.host.Name, e.host.Name)
		w.Network.Heal(e.host.Name, n.host.Name)
	}
}

func (w *World) setBound(bound int64) {
	w.boundChanges++
	operator := newOperator(w, fmt.Sprintf("bound-keeper-%d", w.boundChanges))
	operator.Change(func(current *v1.Set) *v1.Set {
		trainer := *v1.All[*v1.Trainer](current)[0]
		trainer.Spec.MaxStaleness = bound
		return current.Merge(v1.NewSet(&trainer))
	})
}

// Kinds lists the kinds of faults.
func Kinds() []string {
	kinds := make([]string, len(faults))
	for i, known := range faults {
		kinds[i] = known.kind
	}
	slices.Sort(kinds)
	return kinds
}

// killZone kills all nodes of a zone; the function returned replaces them.
func (w *World) killZone(zone string) (replace func()) {
	var killed []*Node
	for _, member := range w.Nodes {
		if member.host.Zone == zone && member.host.alive {
			member.Kill()
			killed = append(killed, member)
		}
	}
	return func() {
		for _, member := range killed {
			member.restart()
		}
	}
}
