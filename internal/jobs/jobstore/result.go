package jobstore

// State is the final state of an item.
type State string

// The final states of an item.
const (
	// Succeeded means that the result holds the complete text.
	Succeeded State = "succeeded"
	// Abandoned means that the item was abandoned without a text.
	Abandoned State = "abandoned"
)

// Result is the result of an item. Its position in a job's list of results never changes.
type Result struct {
	// ID is the id of the item.
	ID    string `json:"id"`
	State State  `json:"state"`
	Text  string `json:"text,omitempty"`
	// Versions are the weight versions that generated the text, in ascending order.
	Versions []int64 `json:"versions,omitempty"`
	// Score is the scorer's signature of the text, empty without a scorer.
	Score string `json:"score,omitempty"`
}
