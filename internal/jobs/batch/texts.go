package batch

import (
	"github.com/pathtally/pathtally/internal/jobs/jobstore"
	"slices"
	"strings"
	"time"
)

// progress is the text of an item so far: its events, and the weight version that made
// each. The service's mutex guards it during a run; only the goroutine of the run writes
// it.
type progress struct {
	events   []string
	versions []int64
}

func (p *progress) add(event string, version int64) {
	p.events = append(p.events, event)
	p.versions = append(p.versions, version)
}

// startAnew discards the item's text. The mutex must be held.
func (i *item) startAnew() {
	i.progress, i.saved = progress{}, 0
	i.texts++
}

func (p *progress) text() string { return strings.Join(p.events, "\n") }

// madeBy returns the distinct versions that made the text, in ascending order.
func (p *progress) madeBy() []int64 {
	return slices.Compact(slices.Sorted(slices.Values(p.versions)))
}

const (
	// textPeriod is the time between saves of the texts of running items, and
	// besideResultsPeriod the shorter one if results are written in the same call, which
	// then costs no more. After the loss of the owner, text that was not saved is
	// generated again.
	textPeriod          = time.Second
	besideResultsPeriod = 400 * time.Millisecond
	// leastText is the number of events from which a text is saved, and leastPiece the
	// number of new events for a further save. Shorter texts are generated again as
	// quickly as they are read back.
	leastText  = 20
	leastPiece = 10
	// pieceOverhead is the approximate size of an encoded event without its text, in
	// bytes.
	pieceOverhead = 16
)

// unsavedTexts returns the parts of the texts of running items that the store lacks, up
// to about the size of a chunk, or nil if a save is not due yet. The mutex must be held.
func (j *job) unsavedTexts(besideResults bool) []jobstore.TextPiece {
	period := textPeriod
	if besideResults {
		period = besideResultsPeriod
	}
	if time.Since(j.textsSaved) < period {
		return nil
	}
	var pieces []jobstore.TextPiece
	size := 0
	for _, id := range j.order {
		running := j.items[id]
		made := len(running.progress.events)
		if running.done || made < leastText || made-running.saved < leastPiece || size > jobstore.MaxChunkBytes {
			continue
		}
		part := jobstore.TextPiece{
			Item: id, From: running.saved, TextNumber: running.texts,
			Events: running.progress.events[running.saved:made:made], Versions: running.progress.versions[running.saved:made:made],
		}
		for _, event := range part.Events {
			size += len(event) + pieceOverhead
		}
		pieces = append(pieces, part)
	}
	return pieces
}

// recordSaved records which texts the store has. The mutex must be held.
func (j *job) recordSaved(pieces []jobstore.TextPiece) {
	for _, part := range pieces {
		// The item may have begun another text while this one was being stored.
		if saved := j.items[part.Item]; saved != nil && saved.saved == part.From && saved.texts == part.TextNumber {
			saved.saved += len(part.Events)
		}
	}
}

// joinPieces assembles texts from their pieces, in the order in which these were written.
// A piece that begins within the text so far replaces the rest, since its writer began
// there again. A piece that begins behind it is ignored.
func joinPieces(pieces []jobstore.TextPiece) map[string]progress {
	texts := map[string]progress{}
	for _, part := range pieces {
		existing := texts[part.Item]
		if part.From > len(existing.events) || len(part.Events) != len(part.Versions) {
			continue
		}
		texts[part.Item] = progress{
			events:   append(existing.events[:part.From:part.From], part.Events...),
			versions: append(existing.versions[:part.From:part.From], part.Versions...),
		}
	}
	return texts
}

// restore gives items the texts that an earlier owner saved, and returns how many items
// got one.
func (j *job) restore(texts map[string]progress) int {
	restored := 0
	for id, text := range texts {
		if pending := j.items[id]; pending != nil && !pending.done {
			pending.progress, pending.saved, pending.events = text, len(text.events), len(text.events)
			restored++
		}
	}
	return restored
}
