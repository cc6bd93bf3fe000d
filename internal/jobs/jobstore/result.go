package jobstore

// State is how an item ended.
type State string

// The states of a result.
const (
	// Succeeded results hold the whole text of their item.
	Succeeded State = "succeeded"
	// Abandoned results say that the item was given up.
	Abandoned State = "abandoned"
)

// Result is a listed item. Its position in the list never changes.
type Result struct {
	// ID is the item's.
	ID    string `json:"id"`
	State State  `json:"state"`
	Text  string `json:"text,omitempty"`
	// Versions are the weight versions that made the text, in rising order.
	Versions []int64 `json:"versions,omitempty"`
	// Score is the scorer's signature of the text, empty without a scorer.
	Score string `json:"score,omitempty"`
}
