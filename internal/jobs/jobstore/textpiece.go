package jobstore

// TextPiece is a part of the text of an item that is still running. It is stored so
// that a later owner of the job continues behind it.
type TextPiece struct {
	Item string `json:"item"`
	// From is the number of events before the piece.
	From   int      `json:"from"`
	Events []string `json:"events"`
	// Versions has the weight version of each event.
	Versions []int64 `json:"versions"`
	// TextNumber tells its writer which of the item's texts this is a part of: a text
	// may be begun anew. It is not stored.
	TextNumber int `json:"-"`
}
