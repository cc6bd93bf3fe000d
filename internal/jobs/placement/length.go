package placement

const (
	// unseenEvents is the number of events that an incomplete text is expected to have
	// beyond those seen.
	unseenEvents = 20
	// remainingShare is the number of events that an item of unknown length is expected to
	// have left, for each that it has made: texts that are long already tend to go on.
	remainingShare = 0.6
)

// Length is what earlier runs of an item have shown of its text's length.
type Length struct {
	// Events is the length of the text if Complete is set, else the least that it has.
	Events   int
	Complete bool
}

// Expected returns the number of events to expect of the text, 0 if nothing is known.
func (l Length) Expected() int {
	if l.Complete || l.Events == 0 {
		return l.Events
	}
	return l.Events + unseenEvents
}

// Remaining estimates how many events an item has left. expected is the number expected
// in all (0 if unknown), made the number so far, and longest that of the longest text
// known (0 for none), which no text is expected to exceed unless it already has.
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
