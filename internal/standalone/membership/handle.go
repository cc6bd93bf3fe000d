package membership

import (
	"maps"
	"slices"

	"github.com/pathtally/pathtally/internal/environment"
	"github.com/pathtally/pathtally/internal/wire"
)

// ping returns a probe with changed records of this zone's queue. A non-empty
// target makes it a request to probe that address.
func (t *Table) ping(target string) *wire.Ping {
	return &wire.Ping{
		Target:    target,
		Summary:   t.summary,
		Records:   t.recordsOf(t.zoneQueue.take(recordsPerProbe)),
		Documents: t.config.Documents(),
	}
}

func (t *Table) ack() *wire.Ack {
	return &wire.Ack{
		Summary:   t.summary,
		Records:   t.recordsOf(t.zoneQueue.take(recordsPerProbe)),
		Documents: t.config.Documents(),
	}
}

// HandlePing replies to a probe. If the probe names a target, HandlePing probes
// that target and replies with an Ack only if the target does.
func (t *Table) HandlePing(from string, ping *wire.Ping, reply func(wire.Message)) {
	t.merge(ping.Records)
	t.config.OnDocuments(from, ping.Documents)
	if ping.Target == "" {
		reply(t.ack())
		t.compareSummary(from, ping.Summary)
		return
	}
	t.config.Peers.Call(ping.Target, t.ping(""), t.config.Period/probeTimeoutDivisor, func(message wire.Message, err error) {
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
	t.compareSummary(from, ack.Summary)
}

// compareSummary starts an exchange of record versions if the peer's summary
// still differs when no records are queued for this zone, unless the last
// exchange is too recent.
func (t *Table) compareSummary(address string, summary uint64) {
	if summary == t.summary {
		t.zoneQueue.acknowledge()
		return
	}
	now := t.config.Clock.Now()
	if len(t.zoneQueue) > 0 || now.Before(t.nextSync) {
		return
	}
	t.nextSync = now.Add(syncPeriods * t.config.Period)
	t.sync(address, func() {})
}

// join requests all records from every seed and probes it.
func (t *Table) join() {
	for _, seed := range t.config.Seeds {
		if seed == t.self.Address {
			continue
		}
		t.sync(seed, func() { t.seedsReplied[seed] = true })
		t.config.Peers.Call(seed, t.ping(""), t.config.Period, func(message wire.Message, err error) {
			if ack, ok := message.(*wire.Ack); err == nil && ok {
				t.handleAck(seed, ack)
			}
		})
	}
}

// sync sends this node's record versions to a peer and merges the newer records
// that it returns.
func (t *Table) sync(address string, onSuccess func()) {
	t.config.Peers.Call(address, t.versions(), t.config.Period, func(message wire.Message, err error) {
		if records, ok := message.(*wire.Records); err == nil && ok {
			t.merge(*records)
			onSuccess()
		}
	})
}

// versions returns the versions of all records, in a fixed order.
func (t *Table) versions() *wire.Sync {
	sync := &wire.Sync{}
	for _, id := range slices.Sorted(maps.Keys(t.members)) {
		record := t.members[id]
		sync.Versions = append(sync.Versions, wire.RecordVersion{Key: memberKeyPrefix + id, Incarnation: record.Incarnation, Sequence: memberVersion(record.Member)})
	}
	for _, name := range slices.Sorted(maps.Keys(t.leases)) {
		sync.Versions = append(sync.Versions, wire.RecordVersion{Key: leaseKeyPrefix + name, Sequence: t.leases[name].Token})
	}
	return sync
}

// HandleSync returns every record that is newer here than at the sender. If the
// sender has newer ones, it starts an exchange in the other direction.
func (t *Table) HandleSync(from string, sync *wire.Sync) *wire.Records {
	senderVersions := make(map[string]wire.RecordVersion, len(sync.Versions))
	for _, version := range sync.Versions {
		senderVersions[version.Key] = version
	}
	senderNewer := map[string]bool{}
	for key := range senderVersions {
		senderNewer[key] = true
	}
	records := &wire.Records{}
	for _, own := range t.versions().Versions {
		other, known := senderVersions[own.Key]
		if known && !versionLess(own, other) {
			senderNewer[own.Key] = false
		}
		if !known || versionLess(other, own) {
			newer := t.recordsOf([]string{own.Key})
			records.Members = append(records.Members, newer.Members...)
			records.Leases = append(records.Leases, newer.Leases...)
		}
	}
	for _, newer := range senderNewer {
		if newer {
			// The complement always differs from the summary, which starts an
			// exchange.
			t.compareSummary(from, ^t.summary)
			break
		}
	}
	return records
}

// versionLess reports whether a is older than b.
func versionLess(a, b wire.RecordVersion) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation < b.Incarnation
	}
	return a.Sequence < b.Sequence
}
