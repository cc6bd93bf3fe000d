package membership

import (
	"maps"
	"slices"

	"github.com/pathtally/pathtally/internal/environment"
	"github.com/pathtally/pathtally/internal/wire"
)

func (t *Table) ping(target string) *wire.Ping {
	return &wire.Ping{
		Target:    target,
		Summary:   t.summary,
		Records:   t.recordsOf(t.local.take(recordsPerProbe)),
		Documents: t.config.Documents(),
	}
}

func (t *Table) ack() *wire.Ack {
	return &wire.Ack{
		Summary:   t.summary,
		Records:   t.recordsOf(t.local.take(recordsPerProbe)),
		Documents: t.config.Documents(),
	}
}

// HandlePing answers a probe, or probes the named target for the sender.
func (t *Table) HandlePing(from string, ping *wire.Ping, reply func(wire.Message)) {
	t.merge(ping.Records)
	t.config.OnDocuments(from, ping.Documents)
	if ping.Target == "" {
		reply(t.ack())
		t.compare(from, ping.Summary)
		return
	}
	t.config.Peers.Call(ping.Target, t.ping(""), t.config.Period/probeTimeoutShare, func(message wire.Message, err error) {
		if _, ok := message.(*wire.Ack); err == nil && ok {
			reply(t.ack())
			return
		}
		reply(&wire.Failure{Code: uint16(wire.CodeNotServing), Detail: environment.ErrPeerUnreachable.Error()})
	})
}

func (t *Table) handleAck(from string, ack *wire.Ack) {
	t.merge(ack.Records)
	t.config.OnDocuments(from, ack.Documents)
	t.compare(from, ack.Summary)
}

// compare starts an exchange of versions when the other side's records still
// differ after this side has nothing left to pass on.
func (t *Table) compare(address string, summary uint64) {
	if summary == t.summary {
		t.local.known()
		return
	}
	now := t.config.Clock.Now()
	if len(t.local) > 0 || now.Before(t.nextSync) {
		return
	}
	t.nextSync = now.Add(syncPeriods * t.config.Period)
	t.sync(address, func() {})
}

// join asks every seed for all that it knows.
func (t *Table) join() {
	for _, seed := range t.config.Seeds {
		if seed == t.self.Address {
			continue
		}
		t.sync(seed, func() { t.answered[seed] = true })
		t.config.Peers.Call(seed, t.ping(""), t.config.Period, func(message wire.Message, err error) {
			if ack, ok := message.(*wire.Ack); err == nil && ok {
				t.handleAck(seed, ack)
			}
		})
	}
}

func (t *Table) sync(address string, answered func()) {
	t.config.Peers.Call(address, t.versions(), t.config.Period, func(message wire.Message, err error) {
		if records, ok := message.(*wire.Records); err == nil && ok {
			t.merge(*records)
			answered()
		}
	})
}

func (t *Table) versions() *wire.Sync {
	sync := &wire.Sync{}
	for _, id := range slices.Sorted(maps.Keys(t.members)) {
		record := t.members[id]
		sync.Versions = append(sync.Versions, wire.RecordVersion{Key: memberKeyPrefix + id, Incarnation: record.Incarnation, Sequence: rank(record.Member)})
	}
	for _, name := range slices.Sorted(maps.Keys(t.leases)) {
		sync.Versions = append(sync.Versions, wire.RecordVersion{Key: leaseKeyPrefix + name, Sequence: t.leases[name].Token})
	}
	return sync
}

// HandleSync answers with every record that is newer here, and asks back when
// the sender holds something newer.
func (t *Table) HandleSync(from string, sync *wire.Sync) *wire.Records {
	theirs := make(map[string]wire.RecordVersion, len(sync.Versions))
	for _, version := range sync.Versions {
		theirs[version.Key] = version
	}
	ahead := map[string]bool{}
	for key := range theirs {
		ahead[key] = true
	}
	records := &wire.Records{}
	for _, mine := range t.versions().Versions {
		other, known := theirs[mine.Key]
		if known && !versionLess(mine, other) {
			ahead[mine.Key] = false
		}
		if !known || versionLess(other, mine) {
			newer := t.recordsOf([]string{mine.Key})
			records.Members = append(records.Members, newer.Members...)
			records.Leases = append(records.Leases, newer.Leases...)
		}
	}
	for _, behind := range ahead {
		if behind {
			t.compare(from, ^t.summary)
			break
		}
	}
	return records
}

func versionLess(a, b wire.RecordVersion) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation < b.Incarnation
	}
	return a.Sequence < b.Sequence
}
