package eventstream

// Event is one event.
type Event struct {
	// ID is the number of the event in its stream, from 1.
	ID int
	// Data is the text of its data lines, joined by line ends.
	Data string
	// Version is the weight version from this event on, 0 if it does not change.
	Version int64
	// Raw is the event as it came, with the empty line that ends it.
	Raw string
}
