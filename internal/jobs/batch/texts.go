package batch

import (
	"github.com/pathtally/pathtally/internal/jobs/jobstore"
	"slices"
	"strings"
	"time"
)

// progress is what an item's runs have made so far: the events of its text and
// the weight version that made each. The service's mutex guards it while a run
// is under way; the goroutine of the run alone writes it.
type progress struct {
	events   []string
	versions []int64
}

// add appends an event.
func (p *progress) add(event string, version int64) {
	p.events = append(p.events, event)
	p.versions = append(p.versions, version)
}

// startAnew drops what the item's runs have made. The mutex must be held.
func (i *item) startAnew() {
	i.progress, i.saved = progress{}, 0
	i.texts++
}

// text is the whole text.
func (p *progress) text() string { return strings.Join(p.events, "\n") }

// madeBy are the versions that made the text, each once, in rising order.
func (p *progress) madeBy() []int64 {
	return slices.Compact(slices.Sorted(slices.Values(p.versions)))
}

const (
	// textPeriod is the time between two savings of the texts of running items, and
	// besideResultsPeriod that where results are written anyway: the call costs the
	// same, and what was not saved is made again after the owner's loss.
	textPeriod          = time.Second
	besideResultsPeriod = 400 * time.Millisecond
	// leastText is how many events an item must have made for its text to be
	// saved, and leastPiece how many of these must be new. Shorter texts are as
	// soon made again as read back.
	leastText  = 20
	leastPiece = 10
	// pieceOverhead is about what an event takes besides its text, in bytes.
	pieceOverhead = 16
)

// unsavedTexts are the parts of the texts of running items that the store lacks,
// as far as one object holds them; none before it is time, which is sooner where
// results are written with them. The mutex must be held.
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

// noteSaved records which texts the store now has. The mutex must be held.
func (j *job) recordSaved(pieces []jobstore.TextPiece) {
	for _, part := range pieces {
		// The item may have begun another text while this one was on its way.
		if saved := j.items[part.Item]; saved != nil && saved.saved == part.From && saved.texts == part.TextNumber {
			saved.saved += len(part.Events)
		}
	}
}

// joinPieces puts texts together from their pieces in the order in which they were
// written. A piece that begins within the text so far replaces the rest, since its writer
// began there anew; one that begins behind it is of no use.
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

// restore gives items the texts that an earlier owner saved, and tells how many
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
