package sim

import (
	"slices"
	"time"

	"github.com/pathtally/pathtally/internal/standalone/recordlog"
)

const syncTime = 3 * time.Millisecond

// Disk is a data folder that outlives its host's processes.
type Disk struct {
	records []recordlog.Record
}

// Lose empties the disk.
func (d *Disk) Lose() { d.records = nil }

// Log returns the disk as a host's process sees it.
func (d *Disk) Log(host *Host) recordlog.Log { return &simLog{disk: d, host: host} }

type simLog struct {
	disk *Disk
	host *Host
}

// Append implements recordlog.Log. A record is on the disk only once the
// sync has ended; a kill before that loses it.
func (l *simLog) Append(segment string, record []byte, done func(error)) {
	l.host.AfterFunc(syncTime, func() {
		l.disk.records = append(l.disk.records, recordlog.Record{Segment: segment, Data: record})
		done(nil)
	})
}

// Remove implements recordlog.Log.
func (l *simLog) Remove(segment string) {
	l.disk.records = slices.DeleteFunc(l.disk.records, func(record recordlog.Record) bool { return record.Segment == segment })
}

// Recover implements recordlog.Log.
func (l *simLog) Recover() ([]recordlog.Record, error) { return slices.Clone(l.disk.records), nil }
