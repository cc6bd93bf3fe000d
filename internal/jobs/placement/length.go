package placement

const (
	// unseenEvents is how many events longer than seen a text is taken to be that was
	// cut.
	unseenEvents = 20
	// remainingShare is the part of what an item has made so far that it is expected to
	// make yet where its length is not known: of long texts, those that have come far go
	// on for long.
	remainingShare = 0.6
)

// Length is what earlier runs of an item have shown of its text.
type Length struct {
	// Events is the number of events that the text has where Complete is set, else the
	// least that it has.
	Events   int
	Complete bool
}

// Expected is the number of events to reckon with, 0 for nothing known. A text that
// was not whole is taken to go on for a while.
func (l Length) Expected() int {
	if l.Complete || l.Events == 0 {
		return l.Events
	}
	return l.Events + unseenEvents
}

// Remaining is how many events an item is expected to make yet, given how many are
// expected in all (0 for nothing known), how many it has made, and how many the longest
// text known has (0 for none): no item is expected to outgrow that.
func Remaining(expected, made, longest int) int {
	rest := int(remainingShare * float64(made))
	if expected > made {
		rest = expected - made
	}
	if longest > made {
		rest = min(rest, longest-made)
	}
	return rest
}
