package batch

import (
	"github.com/pathtally/pathtally/internal/jobs/jobstore"
	"slices"
	"strings"
	"time"
)

// progress is the text of an item so far: its events, and the weight version that
// generated each. The service's mutex guards it during a run; only the goroutine of the
// run writes it.
type progress struct {
	events   []string
	versions []int64
}

func (p *progress) add(event string, version int64) {
	p.events = append(p.events, event)
	p.versions = append(p.versions, version)
}

// discardText discards the item's text. The mutex must be held.
func (i *item) discardText() {
	i.progress, i.savedEvents = progress{}, 0
	i.textNumber++
}

func (p *progress) text() string { return strings.Join(p.events, "\n") }

// distinctVersions returns the distinct versions that generated the text, in ascending
// order.
func (p *progress) distinctVersions() []int64 {
	return slices.Compact(slices.Sorted(slices.Values(p.versions)))
}

const (
	// textSaveInterval is the time between saves of the texts of running items, and
	// textSaveIntervalWithResults the shorter one if results are written in the same
	// call, which then costs no more. After the loss of the owner, text that was not
	// saved is generated again.
	textSaveInterval            = time.Second
	textSaveIntervalWithResults = 400 * time.Millisecond
	// minSavedEvents is the number of events from which a text is saved, and
	// minPieceEvents the number of new events for a further save. Shorter texts are
	// generated again as quickly as they are read back.
	minSavedEvents = 20
	minPieceEvents = 10
	// pieceOverhead is the approximate size of an encoded event without its text, in
	// bytes.
	pieceOverhead = 16
)

// unsavedTexts returns the parts of the texts of running items that the store lacks, up
// to about the size of a chunk, or nil if a save is not due yet. The mutex must be held.
func (j *job) unsavedTexts(withResults bool) []jobstore.TextPiece {
	period := textSaveInterval
	if withResults {
		period = textSaveIntervalWithResults
	}
	if time.Since(j.textsSavedAt) < period {
		return nil
	}
	var pieces []jobstore.TextPiece
	size := 0
	for _, id := range j.order {
		running := j.items[id]
		known := len(running.progress.events)
		if running.done || known < minSavedEvents || known-running.savedEvents < minPieceEvents || size > jobstore.MaxChunkBytes {
			continue
		}
		piece := jobstore.TextPiece{
			Item: id, From: running.savedEvents, TextNumber: running.textNumber,
			Events: running.progress.events[running.savedEvents:known:known], Versions: running.progress.versions[running.savedEvents:known:known],
		}
		for _, event := range piece.Events {
			size += len(event) + pieceOverhead
		}
		pieces = append(pieces, piece)
	}
	return pieces
}

// recordSaved records which texts the store has. The mutex must be held.
func (j *job) recordSaved(pieces []jobstore.TextPiece) {
	for _, piece := range pieces {
		// The item may have begun another text while this one was being stored.
		if saved := j.items[piece.Item]; saved != nil && saved.savedEvents == piece.From && saved.textNumber == piece.TextNumber {
			saved.savedEvents += len(piece.Events)
		}
	}
}

// joinPieces assembles texts from their pieces, in the order in which these were written.
// A piece that begins within the text so far replaces the rest, since its writer began
// there again. A piece that begins after the end of the text so far is ignored.
func joinPieces(pieces []jobstore.TextPiece) map[string]progress {
	texts := map[string]progress{}
	for _, piece := range pieces {
		existing := texts[piece.Item]
		if piece.From > len(existing.events) || len(piece.Events) != len(piece.Versions) {
			continue
		}
		texts[piece.Item] = progress{
			events:   append(existing.events[:piece.From:piece.From], piece.Events...),
			versions: append(existing.versions[:piece.From:piece.From], piece.Versions...),
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
			pending.progress, pending.savedEvents, pending.recordedEvents = text, len(text.events), len(text.events)
			restored++
		}
	}
	return restored
}
