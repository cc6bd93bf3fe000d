package placement

const (
	// expectedFurtherEvents is the number of further events expected of an incomplete text.
	expectedFurtherEvents = 20
	// remainingPerEvent is the expected number of remaining events per generated event for an
	// item of unknown length. Texts that are already long tend to continue.
	remainingPerEvent = 0.6
)

// Length is the length of an item's text as far as earlier runs have shown it.
type Length struct {
	// Events is the length of the text if Complete is set, otherwise a lower bound.
	Events   int
	Complete bool
}

// Expected returns the expected number of events of the text, 0 if nothing is known.
func (l Length) Expected() int {
	if l.Complete || l.Events == 0 {
		return l.Events
	}
	return l.Events + expectedFurtherEvents
}

// Remaining estimates how many events an item has left. expected is the expected total (0
// if unknown), generated is the number of events so far, and longest is the length of the
// longest known text (0 for none), which bounds the estimate unless the item already
// exceeds it.
func Remaining(expected, generated, longest int) int {
	remaining := int(remainingPerEvent * float64(generated))
	if expected > generated {
		remaining = expected - generated
	}
	if longest > generated {
		remaining = min(remaining, longest-generated)
	}
	return remaining
}
