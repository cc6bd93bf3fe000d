package quorum

import (
	"maps"
	"slices"

	"github.com/pathtally/pathtally/internal/wire"
)

// restore replays the entries of the journal.
func (m *Member) restore(journal *Journal) {
	for _, entry := range journal.restored {
		if entry.View != nil {
			m.view = entry.View
		}
		m.serving = max(m.serving, entry.Serving)
		m.sealed = max(m.sealed, entry.Sealed)
		if entry.Claim != nil {
			m.claims[entry.Claim.Key] = entry.Claim
		}
		if entry.Register != nil {
			m.registers[entry.Register.Register] = entry.Register
		}
	}
	journal.restored = nil
}

// persist makes a change durable and then calls done. If the write fails, done
// is not called and no reply is sent: the member must not confirm a change that
// a restart could lose.
func (m *Member) persist(entry journalEntry, done func()) {
	journal := m.config.Journal
	if journal == nil {
		done()
		return
	}
	journal.append(entry, func(err error) {
		if err == nil {
			done()
		}
	})
	if journal.entries > compactAfter {
		journal.compact(m.stateEntries())
	}
}

func (m *Member) persistClaim(record *wire.ClaimRecord, done func()) {
	copied := *record
	copied.Withdrawn = slices.Clone(record.Withdrawn)
	copied.Rivals = slices.Clone(record.Rivals)
	m.persist(journalEntry{Claim: &copied}, done)
}

func (m *Member) persistRegister(record *wire.RegisterRecord, done func()) {
	copied := *record
	m.persist(journalEntry{Register: &copied}, done)
}

// persistAll makes the whole state durable, as after a copy.
func (m *Member) persistAll(done func()) {
	state := m.stateEntries()
	for _, entry := range state[:len(state)-1] {
		m.persist(entry, func() {})
	}
	m.persist(state[len(state)-1], done)
}

// stateEntries returns the whole state as journal entries. There is always at
// least one, and the last one holds the view and the epochs.
func (m *Member) stateEntries() []journalEntry {
	var entries []journalEntry
	if m.config.Journal != nil {
		entries = append(entries, journalEntry{Identity: m.config.Journal.identity})
	}
	for _, key := range slices.Sorted(maps.Keys(m.claims)) {
		copied := *m.claims[key]
		entries = append(entries, journalEntry{Claim: &copied})
	}
	for _, name := range slices.Sorted(maps.Keys(m.registers)) {
		copied := *m.registers[name]
		entries = append(entries, journalEntry{Register: &copied})
	}
	return append(entries, journalEntry{View: m.view, Serving: m.serving, Sealed: m.sealed})
}
