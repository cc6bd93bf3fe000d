package sim

import (
	"fmt"
	"maps"
	"time"

	v1 "github.com/pathtally/pathtally/api/v1"
	"github.com/pathtally/pathtally/internal/standalone/quorum"
)

// The functions here are what the scale run does to a large world.

// changeLook is the step in which a change is followed.
const changeLook = 10 * time.Millisecond

// ChangeOnce makes one configuration change and returns how long it took to be
// in force on every living node, or the limit.
func (w *World) ChangeOnce(operator *Operator, edit func(*v1.Set) *v1.Set, limit time.Duration) time.Duration {
	before := w.newestGeneration()
	operator.Change(edit)
	begun := w.Scheduler.Now()
	for w.Scheduler.Now().Sub(begun) < limit {
		w.Scheduler.Run(changeLook)
		if newest := w.newestGeneration(); newest > before && w.leastGeneration() >= newest {
			break
		}
	}
	return w.Scheduler.Now().Sub(begun)
}

// NewOperator returns a writer of configuration.
func (w *World) NewOperator(name string) *Operator { return newOperator(w, name) }

func (w *World) newestGeneration() uint64 {
	newest := uint64(0)
	for generation := range w.History.puts {
		newest = max(newest, generation)
	}
	return newest
}

func (w *World) leastGeneration() uint64 {
	least := ^uint64(0)
	for _, member := range w.Nodes {
		if member.host.alive {
			least = min(least, member.core.Generation())
		}
	}
	return least
}

// ActivateVersion declares a weight version of the first model, lets every
// engine stage it, and returns how long after its activation was declared the
// last engine ran it, or the limit.
func (w *World) ActivateVersion(operator *Operator, version int64, limit time.Duration) time.Duration {
	declare := func(active bool) func(*v1.Set) *v1.Set {
		return func(current *v1.Set) *v1.Set {
			added := &v1.WeightVersion{Header: v1.Header{APIVersion: v1.APIVersion, Kind: v1.KindWeightVersion}}
			added.Metadata.Name = fmt.Sprintf("%s-v%d", modelName, version)
			added.Spec = v1.WeightVersionSpec{Model: modelName, Version: version, Active: active}
			return current.Merge(v1.NewSet(added))
		}
	}
	w.ChangeOnce(operator, declare(false), limit)
	for begun := w.Scheduler.Now(); w.Scheduler.Now().Sub(begun) < limit && !w.everyEngine(func(e *Engine) bool { return e.staged >= version }); {
		w.Scheduler.Run(changeLook)
	}
	operator.Change(declare(true))
	begun := w.Scheduler.Now()
	for w.Scheduler.Now().Sub(begun) < limit && !w.everyEngine(func(e *Engine) bool { return e.model.Version() >= version }) {
		w.Scheduler.Run(changeLook)
	}
	return w.Scheduler.Now().Sub(begun)
}

// everyEngine tells whether something holds for all engines of the first model.
func (w *World) everyEngine(holds func(*Engine) bool) bool {
	for i, name := range w.order {
		if i%w.config.Models == 0 && w.Engines[name].host.alive && !holds(w.Engines[name]) {
			return false
		}
	}
	return true
}

// ClaimLoad has random nodes claim and complete keys at a rate a second for a
// span, and returns how many were granted.
func (w *World) ClaimLoad(perSecond int, span time.Duration) int {
	granted := 0
	for i := range perSecond * int(span/time.Second) {
		member := w.Nodes[w.Scheduler.Random.IntN(len(w.Nodes))]
		if !member.host.alive {
			continue
		}
		claim := quorum.Claim{Key: fmt.Sprintf("load-%d", i), Attempt: fmt.Sprintf("attempt-%d", i), Fingerprint: uint64(i)}
		client := member.core.Quorum()
		client.Grant(claim, func(result quorum.GrantResult, err error) {
			if err == nil && result.Granted {
				granted++
				client.Complete(claim, 1, []byte("answer"))
			}
		})
		w.Scheduler.Run(time.Second / time.Duration(perSecond))
	}
	w.Scheduler.Run(time.Second)
	return granted
}

// KillZone kills all nodes of a zone; the function returned replaces them.
func (w *World) KillZone(zone string) (replace func()) {
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

// CutRegion cuts a region's nodes off from all other nodes; the function
// returned heals that.
func (w *World) CutRegion(region string) (heal func()) {
	var pairs []link
	for _, inside := range w.Nodes {
		for _, other := range w.Nodes {
			if inside.host.Region == region && other.host.Region != region {
				pairs = append(pairs, link{inside.host.Name, other.host.Name}, link{other.host.Name, inside.host.Name})
			}
		}
	}
	for _, pair := range pairs {
		w.Network.Cut(pair.from, pair.to)
	}
	return func() {
		for _, pair := range pairs {
			w.Network.Heal(pair.from, pair.to)
		}
	}
}

// Converged tells whether every living node has the newest configuration and
// knows every living node as usable.
func (w *World) Converged() bool {
	living := 0
	for _, member := range w.Nodes {
		if member.host.alive {
			living++
		}
	}
	newest := w.newestGeneration()
	for _, member := range w.Nodes {
		if member.host.alive && (member.core.Generation() < newest || len(member.core.Members()) != living) {
			return false
		}
	}
	return true
}

// ReaderCount is how many nodes hold a reader lease.
func (w *World) ReaderCount() int {
	count := 0
	for _, member := range w.Nodes {
		if member.host.alive && member.core.IsReader() {
			count++
		}
	}
	return count
}

// Polls returns a copy of the engine polls answered so far, by node.
func (w *World) Polls() map[string]int { return maps.Clone(w.polls) }
