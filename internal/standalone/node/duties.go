package node

import (
	"slices"
	"strconv"
	"strings"

	v1 "github.com/pathtally/pathtally/api/v1"
	"github.com/pathtally/pathtally/internal/cluster/rendezvous"
	"github.com/pathtally/pathtally/internal/standalone/engineplan"
	"github.com/pathtally/pathtally/internal/standalone/lease"
	"github.com/pathtally/pathtally/internal/standalone/quorum"
	"github.com/pathtally/pathtally/internal/standalone/rollout"
	"github.com/pathtally/pathtally/internal/standalone/weights"
	"github.com/pathtally/pathtally/internal/wire"
)

const (
	readerPrefix    = "reader/"
	schedulerPrefix = "scheduler/"
	weightsPrefix   = "weights/"
	// readersPerRegion is how many nodes of a region watch the object API.
	readersPerRegion = 2
	// singleCopy and replicatedCopies are how many stores keep a sample.
	singleCopy       = 1
	replicatedCopies = 2
)

func schedulerLease(trainer string) string { return schedulerPrefix + trainer }

func weightsLease(model, region string) string { return weightsPrefix + model + "/" + region }

func formatIncarnation(incarnation uint64) string { return strconv.FormatUint(incarnation, 36) }

// wantedLeases are the duties for which this node is a candidate.
func (c *Core) wantedLeases() []string {
	c.wanted = c.leaseNames()
	return c.wanted
}

func (c *Core) leaseNames() []string {
	names := []string{quorum.LeaseName}
	for i := range readersPerRegion {
		names = append(names, readerPrefix+c.config.Self.Region+"/"+strconv.Itoa(i))
	}
	if c.set == nil {
		return names
	}
	for _, trainer := range v1.All[*v1.Trainer](c.set) {
		names = append(names, schedulerLease(trainer.Metadata.Name))
	}
	for _, declared := range v1.All[*v1.Engine](c.set) {
		name := weightsLease(declared.Spec.Model, declared.Spec.Region)
		if declared.Spec.Region == c.config.Self.Region && !slices.Contains(names, name) {
			names = append(names, name)
		}
	}
	return names
}

// leaseRank is this node's place among the candidates for a lease. The first
// few are in different zones, so that the loss of one zone leaves others.
func (c *Core) leaseRank(name string) int {
	if c.stopping {
		return -1
	}
	candidates := c.table.Candidates()
	if strings.HasPrefix(name, readerPrefix) || strings.HasPrefix(name, weightsPrefix) {
		candidates = slices.DeleteFunc(candidates, func(candidate rendezvous.Candidate) bool {
			member, _ := c.table.Get(candidate.ID)
			return member.Region != c.config.Self.Region
		})
	}
	key, offset := name, 0
	if index, isReader := readerIndex(name); isReader {
		// The readers of a region share one order, so that they differ.
		key, offset = readerPrefix, index
	}
	if c.readsAlready(name) && len(candidates) > 1 {
		// Two readers on one node are one reader.
		return len(candidates)
	}
	place := slices.IndexFunc(rendezvous.RankAcrossZones(key, candidates), func(candidate rendezvous.Candidate) bool {
		return candidate.ID == c.config.Self.ID
	})
	if place < 0 {
		return place
	}
	return (place - offset + len(candidates)) % len(candidates)
}

// readsAlready tells whether this node holds a lower one of the region's reader
// leases than the one named.
func (c *Core) readsAlready(name string) bool {
	index, isReader := readerIndex(name)
	if !isReader || c.leases == nil {
		return false
	}
	for lower := range index {
		if _, held := c.leases.Held(readerPrefix + c.config.Self.Region + "/" + strconv.Itoa(lower)); held {
			return true
		}
	}
	return false
}

// readerIndex returns which of a region's readers a lease is for.
func readerIndex(name string) (int, bool) {
	if !strings.HasPrefix(name, readerPrefix) {
		return 0, false
	}
	index, err := strconv.Atoi(name[strings.LastIndexByte(name, '/')+1:])
	return index, err == nil
}

// yieldAfter tells after how many renewals a duty moves back to its first
// candidate. A trainer's scheduler does not: its samples under way would be
// lost. The second reader on one node does at once.
func (c *Core) yieldAfter(name string) (renewals int, may bool) {
	if strings.HasPrefix(name, schedulerPrefix) {
		return 0, false
	}
	if c.readsAlready(name) {
		return 0, true
	}
	return lease.DefaultYieldRenewals, true
}

// promptRank is up to which place candidates check at once when a holder is
// gone.
const promptRank = 2

// membersChanged has the first candidates check the leases whose holder is
// gone or leaving.
func (c *Core) membersChanged() {
	if c.table == nil || c.leases == nil {
		return
	}
	for _, name := range c.wanted {
		note, known := c.table.Lease(name)
		if !known {
			continue
		}
		holder, found := c.table.Get(note.Holder)
		if (!found || holder.State > wire.MemberSuspect) && c.prompted[name] != note.Token && c.leaseRank(name) <= promptRank {
			c.prompted[name] = note.Token
			c.leases.CheckSoon(name)
		}
	}
}

// acquired takes up the duty of a lease.
func (c *Core) acquired(name string, token uint64) {
	if c.stopped {
		return
	}
	switch {
	case name == quorum.LeaseName:
		c.coordinator.Start()
	case strings.HasPrefix(name, readerPrefix):
		c.reader.Start()
	case strings.HasPrefix(name, schedulerPrefix):
		c.startScheduler(name, token)
	case strings.HasPrefix(name, weightsPrefix):
		c.startWeights(name, token)
	}
	c.table.Announce(wire.LeaseNote{Name: name, Holder: c.config.Self.ID, Token: token})
}

// lost lays down the duty of a lease.
func (c *Core) lost(name string) {
	switch {
	case name == quorum.LeaseName:
		c.coordinator.Stop()
	case strings.HasPrefix(name, readerPrefix):
		if !c.holdsReader() {
			c.reader.Stop()
		}
	case strings.HasPrefix(name, schedulerPrefix):
		if scheduler := c.schedulers[name]; scheduler != nil {
			delete(c.schedulers, name)
			scheduler.Stop()
		}
	case strings.HasPrefix(name, weightsPrefix):
		if coordinator := c.weights[name]; coordinator != nil {
			coordinator.Stop()
			delete(c.weights, name)
		}
	}
	c.rebuild()
}

func (c *Core) holdsReader() bool {
	return slices.ContainsFunc(c.leases.HeldNames(), func(name string) bool { return strings.HasPrefix(name, readerPrefix) })
}

func (c *Core) startScheduler(name string, token uint64) {
	trainer := strings.TrimPrefix(name, schedulerPrefix)
	scheduler := rollout.NewScheduler(rollout.Config{
		Trainer:   trainer,
		Token:     token,
		Node:      c.config.Self.ID,
		Zone:      c.config.Self.Zone,
		Clock:     c.config.Clock,
		Random:    c.config.Random,
		Peers:     c.config.Peers,
		Engines:   c.config.Engines,
		Registers: c.quorum,
		Scorer:    c.config.Scorer,
		Stores:    storeDirectory{table: c.table},
		Plan:      func() *engineplan.TrainerPlan { return c.trainerPlan(trainer) },
	})
	c.schedulers[name] = scheduler
	c.rebuild()
	scheduler.Start()
}

func (c *Core) trainerPlan(trainer string) *engineplan.TrainerPlan {
	snapshot := c.snapshot.Load()
	if snapshot == nil {
		return nil
	}
	return snapshot.Trainers[trainer]
}

func (c *Core) startWeights(name string, token uint64) {
	model, region, _ := strings.Cut(strings.TrimPrefix(name, weightsPrefix), "/")
	coordinator := weights.NewCoordinator(weights.Config{
		Model:       model,
		Scope:       name,
		Token:       token,
		Clock:       c.config.Clock,
		Engines:     c.config.Engines,
		DeclaredSet: func() *v1.Set { return c.set },
		Targets:     func() []weights.Target { return c.weightTargets(model, region) },
		OnStatus:    c.observeStatus,
	})
	c.weights[name] = coordinator
	c.rebuild()
	coordinator.Start()
}
