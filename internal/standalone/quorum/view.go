package quorum

import (
	"encoding/json"
	"slices"
)

// DocumentName is the name of the relayed document and of the object that hold
// the current view.
const DocumentName = "quorum-view"

// viewEntry is the key of the view within its document.
const viewEntry = "view"

// Seat is one member's place in a view.
type Seat struct {
	ID string `json:"id"`
	// Identity is the member's storage identity; see wire.Member.
	Identity uint64 `json:"identity"`
	Address  string `json:"address"`
	Zone     string `json:"zone"`
	// Durable means that the member keeps its tables in a data folder.
	Durable bool `json:"durable"`
}

// View is the set of seats in one epoch. Previous holds those of the epoch
// before, from which the tables are copied; it is empty if nothing is copied.
type View struct {
	Epoch    uint64 `json:"epoch"`
	Seats    []Seat `json:"seats"`
	Previous []Seat `json:"previous,omitempty"`
	// ClaimsFrom is the Unix time in milliseconds from which claims are
	// granted. It is set when a view is reset after the loss of a majority:
	// until every lost claim would have expired, its key may have been used.
	ClaimsFrom int64 `json:"claimsFrom,omitempty"`
}

// countZones returns the number of distinct zones of the seats.
func countZones(seats []Seat) int {
	seen := map[string]bool{}
	for _, seat := range seats {
		seen[seat.Zone] = true
	}
	return len(seen)
}

// Majority returns how many seats must agree.
func (v *View) Majority() int { return majority(v.Seats) }

// majority returns the smallest number of seats that is more than half.
func majority(seats []Seat) int { return len(seats)/2 + 1 }

// HasSeat reports whether the member with this id and storage identity holds a
// seat.
func (v *View) HasSeat(id string, identity uint64) bool {
	return slices.ContainsFunc(v.Seats, func(seat Seat) bool { return seat.matches(id, identity) })
}

// matches reports whether the seat belongs to the member with this id and storage
// identity.
func (s Seat) matches(id string, identity uint64) bool { return s.ID == id && s.Identity == identity }

// countDurable returns the number of seats with a data folder.
func countDurable(seats []Seat) int {
	count := 0
	for _, seat := range seats {
		if seat.Durable {
			count++
		}
	}
	return count
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
