package membership

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/pathtally/pathtally/internal/cluster/rendezvous"
	"github.com/pathtally/pathtally/internal/environment"
	"github.com/pathtally/pathtally/internal/wire"
)

// Table is one node's view of all nodes and lease holders. It is not safe for
// concurrent use: all calls and callbacks run on one goroutine.
type Table struct {
	config  Config
	self    wire.Member
	members map[string]*memberRecord
	leases  map[string]wire.LeaseNote
	// zoneQueue holds the records to be sent inside this zone.
	zoneQueue queue
	// crossZone holds, by zone, the keys of the records to be sent there.
	crossZone map[string]map[string]bool
	// summary is a hash over the versions of all records.
	summary uint64
	// seedsReplied holds the addresses of the seeds that have replied.
	seedsReplied map[string]bool
	// nextSync is the earliest time of the next exchange of record versions.
	nextSync time.Time
	// probeOrder holds the ids still to be probed in this round.
	probeOrder []string
	stopped    bool
	timer      environment.Timer
}

// memberRecord is a member's record and the time of its last change at this node.
type memberRecord struct {
	wire.Member
	changedAt time.Time
}

// New returns a table that contains only this node.
func New(config Config) *Table {
	if config.Period == 0 {
		config.Period = DefaultPeriod
	}
	table := &Table{
		config:       config,
		self:         config.Self,
		members:      map[string]*memberRecord{},
		leases:       map[string]wire.LeaseNote{},
		zoneQueue:    queue{},
		crossZone:    map[string]map[string]bool{},
		seedsReplied: map[string]bool{},
	}
	table.mergeMember(config.Self)
	return table
}

// Start joins through the seeds and starts the periodic probes.
func (t *Table) Start() {
	t.join()
	t.scheduleProbe()
}

// Stop stops the periodic probes.
func (t *Table) Stop() {
	t.stopped = true
	if t.timer != nil {
		t.timer.Stop()
	}
}

// DeclareLeaving marks this node as leaving, so that it gets no new work, and
// sends the record to some members immediately.
func (t *Table) DeclareLeaving() {
	t.self.State = wire.MemberLeaving
	t.mergeMember(t.self)
	t.GossipNow()
}

// Self returns this node's own record.
func (t *Table) Self() wire.Member { return t.self }

// Get returns a member's record.
func (t *Table) Get(id string) (wire.Member, bool) {
	record, known := t.members[id]
	if !known {
		return wire.Member{}, false
	}
	return record.Member, true
}

// Usable returns all members that are neither leaving nor dead, sorted by id.
func (t *Table) Usable() []wire.Member {
	var usable []wire.Member
	for _, record := range t.members {
		if record.State <= wire.MemberSuspect {
			usable = append(usable, record.Member)
		}
	}
	slices.SortFunc(usable, func(a, b wire.Member) int { return strings.Compare(a.ID, b.ID) })
	return usable
}

// InZone returns the usable members of a zone, sorted by id.
func (t *Table) InZone(zone string) []wire.Member {
	return slices.DeleteFunc(t.Usable(), func(member wire.Member) bool { return member.Zone != zone })
}

// reachableIn returns the members of a zone that are not dead, sorted by id.
// Leaving members are included, since they reply until they stop.
func (t *Table) reachableIn(zone string) []wire.Member {
	return slices.DeleteFunc(t.All(), func(member wire.Member) bool {
		return member.Zone != zone || member.State == wire.MemberDead
	})
}

// Candidates returns the usable members as candidates for rendezvous hashing.
func (t *Table) Candidates() []rendezvous.Candidate {
	usable := t.Usable()
	candidates := make([]rendezvous.Candidate, len(usable))
	for i, member := range usable {
		candidates[i] = rendezvous.Candidate{ID: member.ID, Zone: member.Zone}
	}
	return candidates
}

// Announce stores a lease note and starts sending it to all nodes. A note whose
// token is not greater than the known one is ignored.
func (t *Table) Announce(note wire.LeaseNote) {
	if t.mergeLease(note) {
		t.GossipNow()
	}
}

// Lease returns the note with the greatest known token of a lease.
func (t *Table) Lease(name string) (wire.LeaseNote, bool) {
	note, known := t.leases[name]
	return note, known
}

// LeaseNames returns the sorted names of the leases with a known holder.
func (t *Table) LeaseNames() []string { return slices.Sorted(maps.Keys(t.leases)) }

// SeedsReplied returns the number of seeds that have replied since the start.
func (t *Table) SeedsReplied() int { return len(t.seedsReplied) }

// All returns every known member, including dead ones, sorted by id.
func (t *Table) All() []wire.Member {
	all := make([]wire.Member, 0, len(t.members))
	for _, id := range slices.Sorted(maps.Keys(t.members)) {
		all = append(all, t.members[id].Member)
	}
	return all
}

// StorageMemberCount returns the number of known members with a data folder,
// including dead ones.
func (t *Table) StorageMemberCount() int {
	count := 0
	for _, record := range t.members {
		if record.Storage {
			count++
		}
	}
	return count
}

// DeclareDead marks this node as dead and sends the record to some members. It is
// called last when a node stops.
func (t *Table) DeclareDead() {
	t.self.State = wire.MemberDead
	t.mergeMember(t.self)
	t.GossipNow()
}
