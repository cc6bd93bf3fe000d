package statistics

import (
	"maps"
	"time"

	"github.com/pathtally/pathtally/internal/jobs/placement"
	"github.com/pathtally/pathtally/internal/wire"
)

const (
	// lengthRetention is how long the lengths of items are stored. Trainers resubmit
	// the items without a result at the end of a job, in one of their next jobs.
	lengthRetention = 60 * time.Second
	// lengthAnnounceTime is how long a length is repeated in this node's heartbeats.
	lengthAnnounceTime = 4 * time.Second
)

// Lengths records the text lengths of items whose jobs ended without results for their
// groups.
type Lengths struct {
	byItem map[string]knownLength
	// announced holds the lengths that this node repeats in its heartbeats.
	announced []announcedLength
}

// knownLength is a length and the time at which it was recorded.
type knownLength struct {
	placement.Length
	recordedAt time.Time
}

// announcedLength is a length from this node's own runs.
type announcedLength struct {
	item   string
	length knownLength
}

// NewLengths returns a Lengths without items.
func NewLengths() *Lengths { return &Lengths{byItem: map[string]knownLength{}} }

// Get returns the length of an item, and false if it is unknown.
func (l *Lengths) Get(item string) (placement.Length, bool) {
	known, found := l.byItem[item]
	return known.Length, found
}

// ExpectedEvents returns the expected number of events of an item, 0 if unknown.
func (l *Lengths) ExpectedEvents(item string) int { return l.byItem[item].Expected() }

// Observe records a length from this node's own runs and announces it to the other nodes.
func (l *Lengths) Observe(item string, length placement.Length, now time.Time) {
	known := knownLength{Length: length, recordedAt: now}
	l.byItem[item] = known
	l.announced = append(l.announced, announcedLength{item: item, length: known})
}

// Learn records the lengths in a heartbeat of another node.
func (l *Lengths) Learn(announced []wire.ItemLength, now time.Time) {
	for _, length := range announced {
		known := placement.Length{Events: int(length.Events), Complete: length.Whole}
		l.byItem[length.Item] = knownLength{Length: known, recordedAt: now}
	}
}

// Announced returns the lengths to announce in a heartbeat. Lengths older than
// lengthAnnounceTime are no longer announced.
func (l *Lengths) Announced(now time.Time) []wire.ItemLength {
	var recent []wire.ItemLength
	kept := l.announced[:0]
	for _, next := range l.announced {
		if now.Sub(next.length.recordedAt) < lengthAnnounceTime {
			kept = append(kept, next)
			recent = append(recent, wire.ItemLength{Item: next.item, Events: uint32(next.length.Events), Whole: next.length.Complete})
		}
	}
	l.announced = kept
	return recent
}

// Evict removes the lengths whose retention has expired.
func (l *Lengths) Evict(now time.Time) {
	maps.DeleteFunc(l.byItem, func(_ string, known knownLength) bool { return now.Sub(known.recordedAt) > lengthRetention })
}

// Len returns the number of items with a known length.
func (l *Lengths) Len() int { return len(l.byItem) }
