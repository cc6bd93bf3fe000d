package statistics

import (
	"maps"
	"time"

	"github.com/pathtally/pathtally/internal/jobs/placement"
	"github.com/pathtally/pathtally/internal/wire"
)

const (
	// lengthRetention is how long the lengths of items are kept. Trainers send items that
	// a job ended without again with one of their next jobs.
	lengthRetention = 60 * time.Second
	// lengthAnnounceTime is how long a length is repeated in this node's heartbeats.
	lengthAnnounceTime = 4 * time.Second
)

// Lengths are the text lengths of items whose jobs ended without their groups, by item
// id.
type Lengths struct {
	byItem map[string]knownLength
	// announced are the lengths that this node repeats in its heartbeats.
	announced []announcedLength
}

// knownLength is what earlier runs of an item have shown of its length, and when.
type knownLength struct {
	placement.Length
	learntAt time.Time
}

// announcedLength is a length that this node has learnt from its own runs.
type announcedLength struct {
	item   string
	length knownLength
}

// NewLengths returns lengths of no item.
func NewLengths() *Lengths { return &Lengths{byItem: map[string]knownLength{}} }

// Get returns the length of an item; false if none is known.
func (l *Lengths) Get(item string) (placement.Length, bool) {
	known, found := l.byItem[item]
	return known.Length, found
}

// ExpectedEvents is how many events to expect of an item, 0 for nothing known.
func (l *Lengths) ExpectedEvents(item string) int { return l.byItem[item].Expected() }

// Observe records the length that runs of this node have shown, to be announced.
func (l *Lengths) Observe(item string, length placement.Length, now time.Time) {
	known := knownLength{Length: length, learntAt: now}
	l.byItem[item] = known
	l.announced = append(l.announced, announcedLength{item: item, length: known})
}

// Learn records the lengths that another node announces.
func (l *Lengths) Learn(announced []wire.ItemLength, now time.Time) {
	for _, length := range announced {
		known := placement.Length{Events: int(length.Events), Complete: length.Whole}
		l.byItem[length.Item] = knownLength{Length: known, learntAt: now}
	}
}

// Announced returns the lengths to repeat in a heartbeat, and forgets those that have
// been repeated for long enough.
func (l *Lengths) Announced(now time.Time) []wire.ItemLength {
	var recent []wire.ItemLength
	kept := l.announced[:0]
	for _, next := range l.announced {
		if now.Sub(next.length.learntAt) < lengthAnnounceTime {
			kept = append(kept, next)
			recent = append(recent, wire.ItemLength{Item: next.item, Events: uint32(next.length.Events), Whole: next.length.Complete})
		}
	}
	l.announced = kept
	return recent
}

// Evict forgets old lengths.
func (l *Lengths) Evict(now time.Time) {
	maps.DeleteFunc(l.byItem, func(_ string, known knownLength) bool { return now.Sub(known.learntAt) > lengthRetention })
}

// Len is the number of items whose length is known.
func (l *Lengths) Len() int { return len(l.byItem) }
