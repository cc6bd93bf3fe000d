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
	ID          string
	Incarnation uint64
	Clock       environment.Clock
	Peers       environment.Peers
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

// NewMember returns a member that serves no view.
func NewMember(config MemberConfig) *Member {
	return &Member{
		config:    config,
		claims:    map[string]*wire.ClaimRecord{},
		registers: map[string]*wire.RegisterRecord{},
	}
}

// Serving returns the epoch served, or 0.
func (m *Member) Serving() uint64 { return m.serving }

// Claims is the number of claims held.
func (m *Member) Claims() int { return len(m.claims) }

// SetView tells of a newer view. A member with a seat in it copies what the
// previous view decided and then serves it.
func (m *Member) SetView(view *View) {
	if m.view != nil && view.Epoch <= m.view.Epoch {
		return
	}
	m.view = view
	m.sealed = max(m.sealed, view.Epoch)
	if !view.Has(m.config.ID, m.config.Incarnation) {
		return
	}
	if len(view.Previous) == 0 {
		m.serving = view.Epoch
		return
	}
	m.copyFrom(view)
}

// copyFrom seals the previous seats and serves the view once a majority of
// them has handed over everything.
func (m *Member) copyFrom(view *View) {
	copied := 0
	remaining := len(view.Previous)
	finished := func(complete bool) {
		remaining--
		if complete {
			copied++
		}
		if m.view != view || m.serving == view.Epoch {
			return
		}
		if copied >= majority(view.Previous) {
			m.serving = view.Epoch
			return
		}
		if remaining == 0 {
			m.config.Clock.AfterFunc(installRetry, func() {
				if m.view == view && m.serving != view.Epoch {
					m.copyFrom(view)
				}
			})
		}
	}
	for _, seat := range view.Previous {
		if seat.ID == m.config.ID && seat.Incarnation == m.config.Incarnation {
			finished(m.serving == view.Epoch-1)
			continue
		}
		m.copyPage(view, seat, "", finished)
	}
}

func (m *Member) copyPage(view *View, seat Seat, after string, finished func(bool)) {
	seal := &wire.ClaimSeal{Epoch: view.Epoch, After: after}
	m.config.Peers.Call(seat.Address, seal, callTimeout, func(message wire.Message, err error) {
		snapshot, ok := message.(*wire.ClaimSnapshot)
		if err != nil || !ok || snapshot.Epoch < view.Epoch-1 {
			// A member that never served the previous view cannot vouch for it.
			finished(false)
			return
		}
		m.mergeSnapshot(snapshot)
		if snapshot.More && len(snapshot.Records) > 0 {
			m.copyPage(view, seat, snapshot.Records[len(snapshot.Records)-1].Key, finished)
			return
		}
		finished(true)
	})
}

// HandleSeal stops service of older views and hands over a page of claims. A
// process that served none of them has nothing to vouch for and refuses.
func (m *Member) HandleSeal(seal *wire.ClaimSeal) wire.Message {
	if m.serving == 0 {
		return &wire.Failure{Code: uint16(wire.CodeNotServing), Detail: "no view served"}
	}
	m.sealed = max(m.sealed, seal.Epoch)
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
