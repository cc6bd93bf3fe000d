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

// Table is one node's view of all nodes. It belongs to one goroutine.
type Table struct {
	config   Config
	self     wire.Member
	members  map[string]*memberRecord
	leases   map[string]wire.LeaseNote
	local    queue
	remote   map[string]map[string]bool
	summary  uint64
	answered map[string]bool
	nextSync time.Time
	order    []string
	stopped  bool
	timer    environment.Timer
}

// memberRecord is a member and when its record last changed here.
type memberRecord struct {
	wire.Member
	changed time.Time
}

// New returns a table that knows only its own node.
func New(config Config) *Table {
	if config.Period == 0 {
		config.Period = DefaultPeriod
	}
	table := &Table{
		config:   config,
		self:     config.Self,
		members:  map[string]*memberRecord{},
		leases:   map[string]wire.LeaseNote{},
		local:    queue{},
		remote:   map[string]map[string]bool{},
		answered: map[string]bool{},
	}
	table.mergeMember(config.Self)
	return table
}

// Start joins through the seeds and starts probing.
func (t *Table) Start() {
	t.join()
	t.schedule()
}

// Stop ends probing; the table answers nothing more by itself.
func (t *Table) Stop() {
	t.stopped = true
	if t.timer != nil {
		t.timer.Stop()
	}
}

// DeclareLeaving declares that this node takes no new work.
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

// Usable returns all members that are neither leaving nor dead, by id.
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

// InZone returns the usable members of a zone, by id.
func (t *Table) InZone(zone string) []wire.Member {
	return slices.DeleteFunc(t.Usable(), func(member wire.Member) bool { return member.Zone != zone })
}

// reachableIn returns the members of a zone that still answer, by id: those
// that are leaving go on talking until they are gone.
func (t *Table) reachableIn(zone string) []wire.Member {
	return slices.DeleteFunc(t.All(), func(member wire.Member) bool {
		return member.Zone != zone || member.State == wire.MemberDead
	})
}

// Candidates returns the usable members in the form that rendezvous ranks.
func (t *Table) Candidates() []rendezvous.Candidate {
	usable := t.Usable()
	candidates := make([]rendezvous.Candidate, len(usable))
	for i, member := range usable {
		candidates[i] = rendezvous.Candidate{ID: member.ID, Zone: member.Zone}
	}
	return candidates
}

// Announce tells all nodes who holds a lease; only a greater token counts.
func (t *Table) Announce(note wire.LeaseNote) {
	if t.mergeLease(note) {
		t.GossipNow()
	}
}

// Lease returns the newest holder known of a lease.
func (t *Table) Lease(name string) (wire.LeaseNote, bool) {
	note, known := t.leases[name]
	return note, known
}

// LeaseNames lists the leases of which a holder is known, in order.
func (t *Table) LeaseNames() []string { return slices.Sorted(maps.Keys(t.leases)) }

// SeedsReplied is the number of seeds that have answered since the start.
func (t *Table) SeedsReplied() int { return len(t.answered) }

// All returns every member known, dead ones included, by id.
func (t *Table) All() []wire.Member {
	all := make([]wire.Member, 0, len(t.members))
	for _, id := range slices.Sorted(maps.Keys(t.members)) {
		all = append(all, t.members[id].Member)
	}
	return all
}

// StorageMemberCount counts the members with a data folder, dead ones included.
func (t *Table) StorageMemberCount() int {
	count := 0
	for _, record := range t.members {
		if record.Storage {
			count++
		}
	}
	return count
}

// DeclareDead tells some members that this node is gone, as the last thing it does.
func (t *Table) DeclareDead() {
	t.self.State = wire.MemberDead
	t.mergeMember(t.self)
	t.GossipNow()
}
