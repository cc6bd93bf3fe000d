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
	// statesPerSequence multiplies the sequence in a member's version, which
	// leaves room for the state.
	statesPerSequence = 4
)

// memberVersion orders the records of one incarnation: a greater sequence
// supersedes a smaller one, and within a sequence a worse state a better one.
func memberVersion(member wire.Member) uint64 {
	return member.Sequence*statesPerSequence + uint64(member.State)
}

// isNewer reports whether record a supersedes record b.
func isNewer(a, b wire.Member) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return memberVersion(a) > memberVersion(b)
}

// mergeMember stores a member's record if it is newer than the one in the table,
// and reports whether it did. A record about this node may be refuted.
func (t *Table) mergeMember(member wire.Member) bool {
	if member.ID == t.self.ID && t.refute(&member) {
		t.self = member
	}
	held, known := t.members[member.ID]
	if known && !isNewer(member, held.Member) {
		return false
	}
	if known {
		t.summary ^= memberHash(held.Member)
	}
	t.summary ^= memberHash(member)
	t.members[member.ID] = &memberRecord{Member: member, changedAt: t.config.Clock.Now()}
	t.enqueueUpdate(memberKeyPrefix+member.ID, member.Zone)
	if member.State == wire.MemberSuspect {
		t.startSuspectTimeout(member)
	}
	t.notifyChanged()
	return true
}

// refute replaces a received record about this node with this node's own record
// and reports whether it did. If the received record is newer, as a suspicion
// is, the sequence is increased above it. A record of a later incarnation is not
// refuted.
func (t *Table) refute(member *wire.Member) bool {
	if member.Incarnation > t.self.Incarnation {
		return false
	}
	if member.Incarnation < t.self.Incarnation || !isNewer(*member, t.self) {
		*member = t.self
		return true
	}
	sequence := member.Sequence + 1
	*member = t.self
	member.Sequence = sequence
	return true
}

// mergeLease stores a lease note if its token is greater than that in the table,
// and reports whether it did.
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
	t.enqueueUpdate(leaseKeyPrefix+note.Name, zone)
	t.notifyChanged()
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

// enqueueUpdate queues a record to be sent within this zone and, if the record is
// about this zone, to all other zones.
func (t *Table) enqueueUpdate(key, zone string) {
	t.zoneQueue.add(key, t.transmissions())
	if zone != t.self.Zone {
		return
	}
	for _, other := range t.otherZones() {
		if t.crossZone[other] == nil {
			t.crossZone[other] = map[string]bool{}
		}
		t.crossZone[other][key] = true
	}
}

func (t *Table) notifyChanged() {
	if t.config.OnChange != nil {
		t.config.OnChange()
	}
}

func memberHash(member wire.Member) uint64 {
	return versionHash(memberKeyPrefix+member.ID, member.Incarnation, memberVersion(member))
}

func leaseHash(note wire.LeaseNote) uint64 {
	return versionHash(leaseKeyPrefix+note.Name, 0, note.Token)
}

// versionHash hashes a record's key and version. The summary is the XOR of these
// hashes over all records.
func versionHash(key string, incarnation, sequence uint64) uint64 {
	var bytes [16]byte
	binary.LittleEndian.PutUint64(bytes[:8], incarnation)
	binary.LittleEndian.PutUint64(bytes[8:], sequence)
	return rendezvous.Weight(rendezvous.Hash(key), xxhash.Sum64(bytes[:]))
}
