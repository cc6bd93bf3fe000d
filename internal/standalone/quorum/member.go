package quorum

import (
	"maps"
	"slices"
	"time"

	"github.com/pathtally/pathtally/internal/environment"
	"github.com/pathtally/pathtally/internal/wire"
)

const (
	// Retention is how long a claim or register is kept. The deadline of a
	// request must be shorter, or a repeated request could run twice.
	Retention = 15 * time.Minute
	// MaxDeadline is the longest deadline of a request that is unsafe to repeat.
	MaxDeadline = 10 * time.Minute
	// snapshotPageSize is the maximum number of claims in a snapshot message.
	snapshotPageSize = 2000
	// callTimeout is the timeout of one call to a member.
	callTimeout = 500 * time.Millisecond
	// copyRetryDelay is the delay before a failed copy is retried.
	copyRetryDelay = 300 * time.Millisecond
	// maxWithdrawnAttempts bounds the withdrawn attempts recorded for one key.
	maxWithdrawnAttempts = 16
)

// MemberConfig holds the settings and dependencies of a Member.
type MemberConfig struct {
	ID string
	// Identity is that of the journal's data folder or, without one, of the
	// process.
	Identity uint64
	Clock    environment.Clock
	Peers    environment.Peers
	// Journal stores the state; nil keeps it in memory only.
	Journal *Journal
}

// Member holds this process's replica of the tables. It is not safe for
// concurrent use.
type Member struct {
	config MemberConfig
	view   *View
	// serving is the epoch served, or 0.
	serving uint64
	// sealed is the greatest epoch sealed; nothing is granted in older ones.
	sealed    uint64
	claims    map[string]*wire.ClaimRecord
	registers map[string]*wire.RegisterRecord
}

// NewMember returns a member that serves the view restored from its journal, or
// none.
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

// ClaimCount returns the number of claims held.
func (m *Member) ClaimCount() int { return len(m.claims) }

// SetView installs a newer view and stops granting in older epochs. A member with
// a seat in the view copies the tables of the previous one, if it names any
// seats, and then serves it.
func (m *Member) SetView(view *View) {
	if m.view != nil && (view.Epoch < m.view.Epoch || view.Epoch == m.serving) {
		return
	}
	m.view = view
	m.sealed = max(m.sealed, view.Epoch)
	if !view.HasSeat(m.config.ID, m.config.Identity) {
		return
	}
	if len(view.Previous) == 0 {
		m.serve(view)
		return
	}
	m.copyFrom(view)
}

// serve starts to serve a view once the state is durable.
func (m *Member) serve(view *View) {
	m.persistAll(func() {
		if m.view != view {
			return
		}
		m.serving = view.Epoch
		m.persist(journalEntry{View: view, Serving: view.Epoch, Sealed: m.sealed}, func() {})
	})
}

// copyFrom seals the previous seats and copies their tables. It serves the view
// once the copies of a majority of them are complete, or that of one member that
// serves the view already, since that member has copied from such a majority.
func (m *Member) copyFrom(view *View) {
	round := &copyRound{member: m, view: view, pending: 1}
	for _, seat := range copySources(view) {
		if seat.matches(m.config.ID, m.config.Identity) {
			if m.serving >= view.Epoch-1 {
				round.copied++
			}
			continue
		}
		round.pending++
		m.copyPage(view, seat, "", round.seatDone)
	}
	// pending starts at 1, so that the round cannot end before every call is sent.
	round.seatDone(0)
}

// copySources returns the seats to copy from: those of the previous view and those
// of the view itself, which may serve it already.
func copySources(view *View) []Seat {
	all := slices.Clone(view.Previous)
	for _, seat := range view.Seats {
		if !slices.ContainsFunc(all, func(listed Seat) bool { return listed.matches(seat.ID, seat.Identity) }) {
			all = append(all, seat)
		}
	}
	return all
}

// copyRound counts the complete copies of one call of copyFrom.
type copyRound struct {
	member  *Member
	view    *View
	copied  int
	pending int
	served  bool
}

// seatDone records that the copy from a seat is complete and which epoch the
// seat serves, or that it failed if epoch is 0. Only a seat that serves at least
// the previous epoch counts.
func (r *copyRound) seatDone(epoch uint64) {
	m := r.member
	r.pending--
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
	if r.pending == 0 {
		m.config.Clock.AfterFunc(copyRetryDelay, func() {
			if m.view == r.view && m.serving != r.view.Epoch {
				m.copyFrom(r.view)
			}
		})
	}
}

// copyPage copies the claims after a key, page by page, and then calls done with
// the epoch that the seat serves, or with 0 if a call failed.
func (m *Member) copyPage(view *View, seat Seat, after string, done func(epoch uint64)) {
	seal := &wire.ClaimSeal{Epoch: view.Epoch, After: after}
	m.config.Peers.Call(seat.Address, seal, callTimeout, func(message wire.Message, err error) {
		snapshot, ok := message.(*wire.ClaimSnapshot)
		if err != nil || !ok {
			done(0)
			return
		}
		m.mergeSnapshot(snapshot)
		if snapshot.More && len(snapshot.Records) > 0 {
			m.copyPage(view, seat, snapshot.Records[len(snapshot.Records)-1].Key, done)
			return
		}
		done(snapshot.Epoch)
	})
}

// HandleSeal stops granting in older epochs and replies with a page of claims. A
// member that serves no view replies with a failure, since it has no complete
// tables.
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

// snapshot returns the page of claims that the seal request asks for. The first
// page also holds all registers.
func (m *Member) snapshot(seal *wire.ClaimSeal) *wire.ClaimSnapshot {
	snapshot := &wire.ClaimSnapshot{Epoch: m.serving}
	for _, key := range slices.Sorted(maps.Keys(m.claims)) {
		if key <= seal.After {
			continue
		}
		if len(snapshot.Records) == snapshotPageSize {
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

// serves reports whether this member may grant a request in an epoch.
func (m *Member) serves(epoch uint64) bool {
	return epoch != 0 && epoch == m.serving && m.sealed <= epoch
}

// grantsClaims reports whether this member may grant a claim in an epoch. A view
// that was reset without the earlier claims grants none before ClaimsFrom.
func (m *Member) grantsClaims(epoch uint64) bool {
	return m.serves(epoch) && m.config.Clock.Now().UnixMilli() >= m.view.ClaimsFrom
}

// DeleteExpired deletes claims and registers past their retention.
func (m *Member) DeleteExpired() {
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
