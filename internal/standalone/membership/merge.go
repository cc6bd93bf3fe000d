package membership

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/pathtally/pathtally/internal/cluster/rendezvous"
	"github.com/pathtally/pathtally/internal/wire"
)

const (
	memberKeyPrefix = "m/"
	leaseKeyPrefix  = "l/"
	// statesPerSequence leaves room for the state below the sequence.
	statesPerSequence = 4
)

// rank orders records of one incarnation: a later sequence wins, and within
// a sequence the worse state.
func rank(member wire.Member) uint64 {
	return member.Sequence*statesPerSequence + uint64(member.State)
}

func newer(a, b wire.Member) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return rank(a) > rank(b)
}

// mergeMember takes a record in if it is newer than the one held.
func (t *Table) mergeMember(member wire.Member) bool {
	if member.ID == t.self.ID && t.defend(&member) {
		t.self = member
	}
	held, known := t.members[member.ID]
	if known && !newer(member, held.Member) {
		return false
	}
	if known {
		t.summary ^= memberHash(held.Member)
	}
	t.summary ^= memberHash(member)
	t.members[member.ID] = &memberRecord{Member: member, changed: t.config.Clock.Now()}
	t.passOn(memberKeyPrefix+member.ID, member.Zone)
	if member.State == wire.MemberSuspect {
		t.watchSuspect(member)
	}
	t.changed()
	return true
}

// defend answers a rumour that this node is suspect or dead with a later
// sequence. Only a record of this incarnation or an older one is refuted.
func (t *Table) defend(member *wire.Member) bool {
	if member.Incarnation > t.self.Incarnation {
		return false
	}
	if member.Incarnation < t.self.Incarnation || !newer(*member, t.self) {
		*member = t.self
		return true
	}
	sequence := member.Sequence + 1
	*member = t.self
	member.Sequence = sequence
	return true
}

// mergeLease takes a note in if its token is greater than the one held.
func (t *Table) mergeLease(note wire.LeaseNote) bool {
	held, known := t.leases[note.Name]
	if known && held.Token >= note.Token {
		return false
	}
	if known {
		t.summary ^= leaseHash(held)
	}
	t.summary ^= leaseHash(note)
	t.leases[note.Name] = note
	zone := t.self.Zone
	if holder, found := t.members[note.Holder]; found {
		zone = holder.Zone
	}
	t.passOn(leaseKeyPrefix+note.Name, zone)
	t.changed()
	return true
}

func (t *Table) merge(records wire.Records) {
	for _, member := range records.Members {
		t.mergeMember(member)
	}
	for _, note := range records.Leases {
		t.mergeLease(note)
	}
}

// passOn queues a record for this zone and, where it is about this zone, for
// all others.
func (t *Table) passOn(key, zone string) {
	t.local.add(key, t.transmissions())
	if zone != t.self.Zone {
		return
	}
	for _, other := range t.otherZones() {
		if t.remote[other] == nil {
			t.remote[other] = map[string]bool{}
		}
		t.remote[other][key] = true
	}
}

func (t *Table) changed() {
	if t.config.OnChange != nil {
		t.config.OnChange()
	}
}

func memberHash(member wire.Member) uint64 {
	return versionHash(memberKeyPrefix+member.ID, member.Incarnation, rank(member))
}

func leaseHash(note wire.LeaseNote) uint64 {
	return versionHash(leaseKeyPrefix+note.Name, 0, note.Token)
}

func versionHash(key string, incarnation, sequence uint64) uint64 {
	var bytes [16]byte
	binary.LittleEndian.PutUint64(bytes[:8], incarnation)
	binary.LittleEndian.PutUint64(bytes[8:], sequence)
	return rendezvous.Weight(rendezvous.Hash(key), xxhash.Sum64(bytes[:]))
}
