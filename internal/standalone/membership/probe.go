package membership

import (
	"math/bits"
	"slices"
	"strings"
	"time"

	"github.com/pathtally/pathtally/internal/cluster/rendezvous"
	"github.com/pathtally/pathtally/internal/wire"
)

// scheduleProbe schedules the next period with jitter, so that the nodes do not
// send their probes at the same time.
func (t *Table) scheduleProbe() {
	jitter := time.Duration(t.config.Random.Int64N(int64(t.config.Period) / 5))
	t.timer = t.config.Clock.AfterFunc(t.config.Period-t.config.Period/10+jitter, func() {
		if t.stopped {
			return
		}
		t.runPeriod()
		t.scheduleProbe()
	})
}

// runPeriod does the periodic work: one probe in this zone, the probes of other
// zones, and joining again while no other member is known.
func (t *Table) runPeriod() {
	t.removeExpiredDead()
	if target, found := t.nextTarget(); found {
		t.probe(target)
	}
	if len(t.seedsReplied) < len(t.config.Seeds) && len(t.members) == 1 {
		t.join()
	}
	t.probeOtherZones()
}

// nextTarget returns the zone's members in random order, each once per round.
func (t *Table) nextTarget() (wire.Member, bool) {
	for range 2 {
		for len(t.probeOrder) > 0 {
			id := t.probeOrder[0]
			t.probeOrder = t.probeOrder[1:]
			if record, known := t.members[id]; known && record.State != wire.MemberDead {
				return record.Member, true
			}
		}
		t.probeOrder = t.zonePeers()
		t.config.Random.Shuffle(len(t.probeOrder), func(i, j int) { t.probeOrder[i], t.probeOrder[j] = t.probeOrder[j], t.probeOrder[i] })
	}
	return wire.Member{}, false
}

// zonePeers returns the ids of the other members of this zone that are not dead.
func (t *Table) zonePeers() []string {
	var peers []string
	for id, record := range t.members {
		if id != t.self.ID && record.Zone == t.self.Zone && record.State != wire.MemberDead {
			peers = append(peers, id)
		}
	}
	slices.Sort(peers)
	return peers
}

// probe sends a direct probe and, if there is no reply, indirect ones.
func (t *Table) probe(target wire.Member) {
	timeout := t.config.Period / probeTimeoutDivisor
	t.config.Peers.Call(target.Address, t.ping(""), timeout, func(message wire.Message, err error) {
		if ack, ok := message.(*wire.Ack); err == nil && ok {
			t.handleAck(target.Address, ack)
			return
		}
		t.probeIndirectly(target)
	})
}

// probeIndirectly asks other members to probe an unresponsive one, so that a
// failure of a single link does not cause a suspicion.
func (t *Table) probeIndirectly(target wire.Member) {
	peers := slices.DeleteFunc(t.zonePeers(), func(id string) bool { return id == target.ID })
	t.config.Random.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	peers = peers[:min(indirectProbes, len(peers))]
	pending := len(peers)
	if pending == 0 {
		t.suspect(target)
		return
	}
	reached := false
	for _, id := range peers {
		t.config.Peers.Call(t.members[id].Address, t.ping(target.Address), t.config.Period, func(message wire.Message, err error) {
			pending--
			if _, ok := message.(*wire.Ack); err == nil && ok {
				reached = true
			}
			if pending == 0 && !reached {
				t.suspect(target)
			}
		})
	}
}

// suspect marks a member as suspect unless its record has changed since the
// probe.
func (t *Table) suspect(target wire.Member) {
	held, known := t.members[target.ID]
	if t.stopped || !known || held.Incarnation != target.Incarnation || held.Sequence != target.Sequence || held.State != wire.MemberAlive {
		return
	}
	suspected := held.Member
	suspected.State = wire.MemberSuspect
	t.mergeMember(suspected)
}

// startSuspectTimeout declares a suspect of this zone dead if no newer record of
// it arrives in time.
func (t *Table) startSuspectTimeout(suspected wire.Member) {
	t.config.Clock.AfterFunc(suspectTimeoutPeriods*t.config.Period, func() {
		held, known := t.members[suspected.ID]
		if t.stopped || !known || held.Member != suspected || suspected.Zone != t.self.Zone {
			return
		}
		suspected.State = wire.MemberDead
		t.mergeMember(suspected)
	})
}

// probeOtherZones sends one probe to a member of each other zone if this node is
// a delegate of its own zone. Records of a probe without a reply are queued again.
func (t *Table) probeOtherZones() {
	if !t.isDelegate() {
		return
	}
	for _, zone := range t.otherZones() {
		members := t.reachableIn(zone)
		if len(members) == 0 {
			continue
		}
		target := t.crossZoneTarget(zone, members)
		keys := t.takeCrossZone(zone)
		ping := t.ping("")
		ping.Records = t.recordsOf(keys)
		t.config.Peers.Call(target.Address, ping, t.config.Period, func(message wire.Message, err error) {
			if ack, ok := message.(*wire.Ack); err == nil && ok {
				t.handleAck(target.Address, ack)
				return
			}
			t.requeueCrossZone(zone, keys)
		})
	}
}

// crossZoneTarget chooses a delegate of another zone or, occasionally, any of its
// members, so that unresponsive delegates do not isolate the zone.
func (t *Table) crossZoneTarget(zone string, members []wire.Member) wire.Member {
	if t.config.Random.IntN(4) == 0 {
		return members[t.config.Random.IntN(len(members))]
	}
	delegates := delegatesOf(zone, members)
	return delegates[t.config.Random.IntN(len(delegates))]
}

func (t *Table) isDelegate() bool {
	for _, member := range delegatesOf(t.self.Zone, t.reachableIn(t.self.Zone)) {
		if member.ID == t.self.ID {
			return true
		}
	}
	return false
}

// delegatesOf returns the delegates of a zone, chosen by rendezvous hashing.
func delegatesOf(zone string, members []wire.Member) []wire.Member {
	key := rendezvous.Hash("delegate/" + zone)
	sorted := slices.Clone(members)
	slices.SortFunc(sorted, func(a, b wire.Member) int {
		weightA, weightB := rendezvous.Weight(key, rendezvous.Hash(a.ID)), rendezvous.Weight(key, rendezvous.Hash(b.ID))
		if weightA > weightB {
			return -1
		}
		return 1
	})
	return sorted[:min(delegatesPerZone, len(sorted))]
}

// otherZones returns the sorted names of the other zones with a known member.
func (t *Table) otherZones() []string {
	seen := map[string]bool{}
	var zones []string
	for _, record := range t.members {
		if record.Zone == t.self.Zone || seen[record.Zone] {
			continue
		}
		seen[record.Zone] = true
		zones = append(zones, record.Zone)
	}
	slices.Sort(zones)
	return zones
}

// takeCrossZone removes and returns the keys of the records for the next probe of
// another zone.
func (t *Table) takeCrossZone(zone string) []string {
	keys := make([]string, 0, len(t.crossZone[zone]))
	for key := range t.crossZone[zone] {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	keys = keys[:min(recordsPerCrossZoneProbe, len(keys))]
	for _, key := range keys {
		delete(t.crossZone[zone], key)
	}
	return keys
}

func (t *Table) requeueCrossZone(zone string, keys []string) {
	if t.crossZone[zone] == nil {
		t.crossZone[zone] = map[string]bool{}
	}
	for _, key := range keys {
		t.crossZone[zone][key] = true
	}
}

// GossipNow sends changed records and document versions to some members
// immediately instead of in the next period.
func (t *Table) GossipNow() {
	if t.stopped {
		return
	}
	peers := t.zonePeers()
	t.config.Random.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	for _, id := range peers[:min(indirectProbes+1, len(peers))] {
		address := t.members[id].Address
		t.config.Peers.Call(address, t.ping(""), t.config.Period, func(message wire.Message, err error) {
			if ack, ok := message.(*wire.Ack); err == nil && ok {
				t.handleAck(address, ack)
			}
		})
	}
	t.probeOtherZones()
}

// removeExpiredDead removes the records of dead members after their retention.
func (t *Table) removeExpiredDead() {
	limit := t.config.Clock.Now().Add(-deadRetention)
	for id, record := range t.members {
		if record.State == wire.MemberDead && record.changedAt.Before(limit) {
			t.summary ^= memberHash(record.Member)
			delete(t.members, id)
		}
	}
}

// transmissions returns how many times a changed record is sent inside the zone.
func (t *Table) transmissions() int {
	return transmissionFactor * bits.Len(uint(len(t.zonePeers())+1))
}

// recordsOf returns the records with the given keys that are still in the table.
func (t *Table) recordsOf(keys []string) wire.Records {
	var records wire.Records
	for _, key := range keys {
		if id, found := strings.CutPrefix(key, memberKeyPrefix); found {
			if record, known := t.members[id]; known {
				records.Members = append(records.Members, record.Member)
			}
			continue
		}
		if note, known := t.leases[strings.TrimPrefix(key, leaseKeyPrefix)]; known {
			records.Leases = append(records.Leases, note)
		}
	}
	return records
}
