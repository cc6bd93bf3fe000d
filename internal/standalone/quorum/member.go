package quorum

import (
	"maps"
	"slices"
	"time"

	"github.com/pathtally/pathtally/internal/environment"
	"github.com/pathtally/pathtally/internal/wire"
)

const (
	// Retention is how long a claim or register is kept. A deadline of a
	// request must be shorter, or a repeat could run again.
	Retention = 15 * time.Minute
	// MaxDeadline is the longest deadline of a request unsafe to repeat.
	MaxDeadline = 10 * time.Minute
	// pageLength bounds the claims in one snapshot message.
	pageLength = 2000
	// callTimeout bounds one message to a member.
	callTimeout = 500 * time.Millisecond
	// installRetry is the wait before a copy is tried again.
	installRetry = 300 * time.Millisecond
	// maxWithdrawn bounds the withdrawn attempts remembered for one key.
	maxWithdrawn = 16
)

// MemberConfig is what a Member needs.
type MemberConfig struct {
	ID string
	// Identity is that of the process, or of the journal's data folder.
	Identity uint64
	Clock    environment.Clock
	Peers    environment.Peers
	// Journal keeps the state; nil keeps it in memory only.
	Journal *Journal
}

// Member holds this process's share of the tables. It belongs to one
// goroutine.
type Member struct {
	config    MemberConfig
	view      *View
	serving   uint64
	sealed    uint64
	claims    map[string]*wire.ClaimRecord
	registers map[string]*wire.RegisterRecord
}

// NewMember returns a member that serves the view of its journal, or none.
func NewMember(config MemberConfig) *Member {
	member := &Member{
		config:    config,
		claims:    map[string]*wire.ClaimRecord{},
		registers: map[string]*wire.RegisterRecord{},
	}
	if config.Journal != nil {
		member.restore(config.Journal)
	}
	return member
}

// Serving returns the epoch served, or 0.
func (m *Member) Serving() uint64 { return m.serving }

// Claims is the number of claims held.
func (m *Member) Claims() int { return len(m.claims) }

// SetView tells of a newer view. A member with a seat in it copies what the
// previous view decided and then serves it.
func (m *Member) SetView(view *View) {
	if m.view != nil && (view.Epoch < m.view.Epoch || view.Epoch == m.serving) {
		return
	}
	m.view = view
	m.sealed = max(m.sealed, view.Epoch)
	if !view.Has(m.config.ID, m.config.Identity) {
		return
	}
	if len(view.Previous) == 0 {
		m.serve(view)
		return
	}
	m.copyFrom(view)
}

// serve begins to serve a view once that is durable.
func (m *Member) serve(view *View) {
	m.persistAll(func() {
		if m.view != view {
			return
		}
		m.serving = view.Epoch
		m.persist(journalEntry{View: view, Serving: view.Epoch, Sealed: m.sealed}, func() {})
	})
}

// copyFrom seals the previous seats and serves the view once a majority of
// them has handed over everything, or one member that serves the view already:
// that one has copied from such a majority.
func (m *Member) copyFrom(view *View) {
	round := &copyRound{member: m, view: view, waiting: 1}
	for _, seat := range sources(view) {
		if seat.is(m.config.ID, m.config.Identity) {
			if m.serving >= view.Epoch-1 {
				round.copied++
			}
			continue
		}
		round.waiting++
		m.copyPage(view, seat, "", round.answered)
	}
	// The round itself counts as waiting until every seat has been asked.
	round.answered(0)
}

// sources are the seats to copy from: those of the previous view, and those of
// the view itself that may serve it already.
func sources(view *View) []Seat {
	all := slices.Clone(view.Previous)
	for _, seat := range view.Seats {
		if !slices.ContainsFunc(all, func(listed Seat) bool { return listed.is(seat.ID, seat.Identity) }) {
			all = append(all, seat)
		}
	}
	return all
}

// copyRound counts the answers to one attempt at copying.
type copyRound struct {
	member  *Member
	view    *View
	copied  int
	waiting int
	served  bool
}

// answered takes in that a seat has handed over all it has, with the epoch that
// it serves, or 0 when it did not answer.
func (r *copyRound) answered(epoch uint64) {
	m := r.member
	r.waiting--
	if epoch >= r.view.Epoch-1 && epoch > 0 {
		r.copied++
	}
	if m.view != r.view || r.served {
		return
	}
	if epoch >= r.view.Epoch || r.copied >= majority(r.view.Previous) {
		r.served = true
		m.serve(r.view)
		return
	}
	if r.waiting == 0 {
		m.config.Clock.AfterFunc(installRetry, func() {
			if m.view == r.view && m.serving != r.view.Epoch {
				m.copyFrom(r.view)
			}
		})
	}
}

func (m *Member) copyPage(view *View, seat Seat, after string, answered func(epoch uint64)) {
	seal := &wire.ClaimSeal{Epoch: view.Epoch, After: after}
	m.config.Peers.Call(seat.Address, seal, callTimeout, func(message wire.Message, err error) {
		snapshot, ok := message.(*wire.ClaimSnapshot)
		if err != nil || !ok {
			answered(0)
			return
		}
		m.mergeSnapshot(snapshot)
		if snapshot.More && len(snapshot.Records) > 0 {
			m.copyPage(view, seat, snapshot.Records[len(snapshot.Records)-1].Key, answered)
			return
		}
		answered(snapshot.Epoch)
	})
}

// HandleSeal stops service of older views and hands over a page of claims. A
// process that served none of them has nothing to vouch for and refuses.
func (m *Member) HandleSeal(seal *wire.ClaimSeal, reply func(wire.Message)) {
	if m.serving == 0 {
		reply(&wire.Failure{Code: uint16(wire.CodeNotServing), Detail: "no view served"})
		return
	}
	if seal.Epoch <= m.sealed {
		reply(m.snapshot(seal))
		return
	}
	m.sealed = seal.Epoch
	m.persist(journalEntry{Sealed: m.sealed}, func() { reply(m.snapshot(seal)) })
}

func (m *Member) snapshot(seal *wire.ClaimSeal) *wire.ClaimSnapshot {
	snapshot := &wire.ClaimSnapshot{Epoch: m.serving}
	for _, key := range slices.Sorted(maps.Keys(m.claims)) {
		if key <= seal.After {
			continue
		}
		if len(snapshot.Records) == pageLength {
			snapshot.More = true
			break
		}
		snapshot.Records = append(snapshot.Records, *m.claims[key])
	}
	if seal.After == "" {
		for _, name := range slices.Sorted(maps.Keys(m.registers)) {
			snapshot.Registers = append(snapshot.Registers, *m.registers[name])
		}
	}
	return snapshot
}

func (m *Member) mergeSnapshot(snapshot *wire.ClaimSnapshot) {
	for _, record := range snapshot.Records {
		m.mergeClaim(record)
	}
	for _, record := range snapshot.Registers {
		m.mergeRegister(record)
	}
}

// serves tells whether a request in an epoch may be granted here.
func (m *Member) serves(epoch uint64) bool {
	return epoch != 0 && epoch == m.serving && m.sealed <= epoch
}

// servesClaims tells whether claims, too, may be granted: not yet where a view
// has started over without those of the one before.
func (m *Member) servesClaims(epoch uint64) bool {
	return m.serves(epoch) && m.config.Clock.Now().UnixMilli() >= m.view.ClaimsFrom
}

// Expire forgets claims and registers past their retention.
func (m *Member) Expire() {
	limit := m.config.Clock.Now().Add(-Retention).UnixMilli()
	for key, record := range m.claims {
		if record.Created < limit {
			delete(m.claims, key)
		}
	}
	for name, record := range m.registers {
		if record.Created < limit {
			delete(m.registers, name)
		}
	}
}
