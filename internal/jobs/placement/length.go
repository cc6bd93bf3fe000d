package placement

const (
	// unseenEvents is the number of further events expected of an incomplete text.
	unseenEvents = 20
	// remainingShare is the expected number of remaining events per generated event for an
	// item of unknown length. Texts that are already long tend to continue.
	remainingShare = 0.6
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
	return l.Events + unseenEvents
}

// Remaining estimates how many events an item has left. expected is the expected total (0
// if unknown), made is the number of events so far, and longest is the length of the longest
// known text (0 for none), which bounds the estimate unless the item already exceeds it.
func Remaining(expected, made, longest int) int {
	remaining := int(remainingShare * float64(made))
	if expected > made {
		remaining = expected - made
	}
	if longest > made {
		remaining = min(remaining, longest-made)
	}
	return remaining
}
