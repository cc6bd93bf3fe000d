package eventstream

// Event is one event of a stream.
type Event struct {
	// ID is the position of the event in its stream, from 1.
	ID int
	// Data is the text of the data lines, joined by newlines.
	Data string
	// Version is the weight version from this event on, 0 if it is unchanged.
	Version int64
	// Raw is the event as received, except that each line ends in "\n", with the empty line
	// that terminates it.
	Raw string
}
