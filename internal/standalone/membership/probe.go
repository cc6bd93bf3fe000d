package membership

import (
	"math/bits"
	"slices"
	"strings"
	"time"

	"github.com/pathtally/pathtally/internal/cluster/rendezvous"
	"github.com/pathtally/pathtally/internal/wire"
)

// schedule plans the next period with jitter, so that nodes do not beat
// together.
func (t *Table) schedule() {
	jitter := time.Duration(t.config.Random.Int64N(int64(t.config.Period) / 5))
	t.timer = t.config.Clock.AfterFunc(t.config.Period-t.config.Period/10+jitter, func() {
		if t.stopped {
			return
		}
		t.period()
		t.schedule()
	})
}

func (t *Table) period() {
	t.forgetDead()
	if target, found := t.nextTarget(); found {
		t.probe(target)
	}
	if len(t.answered) < len(t.config.Seeds) && len(t.members) == 1 {
		t.join()
	}
	t.probeOtherZones()
}

// nextTarget walks the zone's members in a random order, each once a round.
func (t *Table) nextTarget() (wire.Member, bool) {
	for range 2 {
		for len(t.order) > 0 {
			id := t.order[0]
			t.order = t.order[1:]
			if record, known := t.members[id]; known && record.State != wire.MemberDead {
				return record.Member, true
			}
		}
		t.order = t.zoneMates()
		t.config.Random.Shuffle(len(t.order), func(i, j int) { t.order[i], t.order[j] = t.order[j], t.order[i] })
	}
	return wire.Member{}, false
}

func (t *Table) zoneMates() []string {
	var mates []string
	for id, record := range t.members {
		if id != t.self.ID && record.Zone == t.self.Zone && record.State != wire.MemberDead {
			mates = append(mates, id)
		}
	}
	slices.Sort(mates)
	return mates
}

func (t *Table) probe(target wire.Member) {
	timeout := t.config.Period / probeTimeoutShare
	t.config.Peers.Call(target.Address, t.ping(""), timeout, func(message wire.Message, err error) {
		if ack, ok := message.(*wire.Ack); err == nil && ok {
			t.handleAck(target.Address, ack)
			return
		}
		t.probeIndirectly(target)
	})
}

// probeIndirectly asks other members to reach a silent one, so that one bad
// link does not make a suspect.
func (t *Table) probeIndirectly(target wire.Member) {
	mates := slices.DeleteFunc(t.zoneMates(), func(id string) bool { return id == target.ID })
	t.config.Random.Shuffle(len(mates), func(i, j int) { mates[i], mates[j] = mates[j], mates[i] })
	mates = mates[:min(indirectProbes, len(mates))]
	waiting := len(mates)
	if waiting == 0 {
		t.suspect(target)
		return
	}
	reached := false
	for _, id := range mates {
		t.config.Peers.Call(t.members[id].Address, t.ping(target.Address), t.config.Period, func(message wire.Message, err error) {
			waiting--
			if _, ok := message.(*wire.Ack); err == nil && ok {
				reached = true
			}
			if waiting == 0 && !reached {
				t.suspect(target)
			}
		})
	}
}

func (t *Table) suspect(target wire.Member) {
	held, known := t.members[target.ID]
	if t.stopped || !known || held.Incarnation != target.Incarnation || held.Sequence != target.Sequence || held.State != wire.MemberAlive {
		return
	}
	suspected := held.Member
	suspected.State = wire.MemberSuspect
	t.mergeMember(suspected)
}

// watchSuspect declares a suspect dead when nothing newer was received in time.
func (t *Table) watchSuspect(suspected wire.Member) {
	t.config.Clock.AfterFunc(suspectPeriods*t.config.Period, func() {
		held, known := t.members[suspected.ID]
		if t.stopped || !known || held.Member != suspected || suspected.Zone != t.self.Zone {
			return
		}
		suspected.State = wire.MemberDead
		t.mergeMember(suspected)
	})
}

// probeOtherZones is the work of a zone's delegates: one probe a period to
// one member of each other zone. A silent delegate of the other zone is
// passed over by choosing among all of its members now and then.
func (t *Table) probeOtherZones() {
	if !t.isDelegate() {
		return
	}
	for _, zone := range t.otherZones() {
		members := t.reachableIn(zone)
		if len(members) == 0 {
			continue
		}
		target := t.crossTarget(zone, members)
		keys := t.takeRemote(zone)
		ping := t.ping("")
		ping.Records = t.recordsOf(keys)
		t.config.Peers.Call(target.Address, ping, t.config.Period, func(message wire.Message, err error) {
			if ack, ok := message.(*wire.Ack); err == nil && ok {
				t.handleAck(target.Address, ack)
				return
			}
			t.putBackRemote(zone, keys)
		})
	}
}

func (t *Table) crossTarget(zone string, members []wire.Member) wire.Member {
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

func (t *Table) takeRemote(zone string) []string {
	keys := make([]string, 0, len(t.remote[zone]))
	for key := range t.remote[zone] {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	keys = keys[:min(recordsPerCrossProbe, len(keys))]
	for _, key := range keys {
		delete(t.remote[zone], key)
	}
	return keys
}

func (t *Table) putBackRemote(zone string, keys []string) {
	if t.remote[zone] == nil {
		t.remote[zone] = map[string]bool{}
	}
	for _, key := range keys {
		t.remote[zone][key] = true
	}
}

// GossipNow passes changed records and document versions on at once instead of
// at the next period.
func (t *Table) GossipNow() {
	if t.stopped {
		return
	}
	mates := t.zoneMates()
	t.config.Random.Shuffle(len(mates), func(i, j int) { mates[i], mates[j] = mates[j], mates[i] })
	for _, id := range mates[:min(indirectProbes+1, len(mates))] {
		address := t.members[id].Address
		t.config.Peers.Call(address, t.ping(""), t.config.Period, func(message wire.Message, err error) {
			if ack, ok := message.(*wire.Ack); err == nil && ok {
				t.handleAck(address, ack)
			}
		})
	}
	t.probeOtherZones()
}

func (t *Table) forgetDead() {
	limit := t.config.Clock.Now().Add(-deadRetention)
	for id, record := range t.members {
		if record.State == wire.MemberDead && record.changed.Before(limit) {
			t.summary ^= memberHash(record.Member)
			delete(t.members, id)
		}
	}
}

// transmissions is how often a changed record is passed on inside the zone.
func (t *Table) transmissions() int {
	return transmissionFactor * bits.Len(uint(len(t.zoneMates())+1))
}

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
