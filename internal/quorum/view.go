package quorum

import (
	"encoding/json"
	"slices"
)

// DocumentName is the name of the relayed document and of the object that
// hold the view in force.
const DocumentName = "quorum-view"

// viewEntry is the key of the view within its document.
const viewEntry = "view"

// Seat is one member of a view.
type Seat struct {
	ID          string `json:"id"`
	Incarnation uint64 `json:"incarnation"`
	Address     string `json:"address"`
	Zone        string `json:"zone"`
}

// View is the set of members in one epoch.
type View struct {
	Epoch    uint64 `json:"epoch"`
	Seats    []Seat `json:"seats"`
	Previous []Seat `json:"previous,omitempty"`
}

// Majority is how many seats must agree.
func (v *View) Majority() int { return majority(v.Seats) }

func majority(seats []Seat) int { return len(seats)/2 + 1 }

// Has tells whether a process holds a seat.
func (v *View) Has(id string, incarnation uint64) bool {
	return slices.ContainsFunc(v.Seats, func(seat Seat) bool {
		return seat.ID == id && seat.Incarnation == incarnation
	})
}

// Entries returns the view as entries of a relayed document.
func (v *View) Entries() (map[string][]byte, error) {
	data, err := json.Marshal(v)
	return map[string][]byte{viewEntry: data}, err
}

// ViewFromEntries is the inverse of Entries.
func ViewFromEntries(entries map[string][]byte) (*View, error) {
	view := &View{}
	err := json.Unmarshal(entries[viewEntry], view)
	return view, err
}
