package jobstore

// TextPiece is a part of the text of a running item. It is stored so that a later owner of the
// job can continue after it.
type TextPiece struct {
	Item string `json:"item"`
	// From is the number of events before this part.
	From   int      `json:"from"`
	Events []string `json:"events"`
	// Versions holds the weight version of each event.
	Versions []int64 `json:"versions"`
	// TextNumber identifies the text within the item, since a text may be restarted. It is
	// not stored.
	TextNumber int `json:"-"`
}
