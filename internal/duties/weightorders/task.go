package weightorders

import "cmp"

// task is a replica that is to get a model's version.
type task struct {
	target Target
	model  string
	// version is the named one, and held the newest that the replica is known to have.
	version int64
	held    int64
	// homes is how many homes the model has, and currentHomes how many of them need no
	// load.
	currentHomes int
	homes        int
	// ahead is set where the replica can do without the version for now.
	ahead bool
	// runningItems is how many items run at the replica.
	runningItems int
}

// currentPart is the part of a model's homes that are current or load now.
func (t task) currentPart(loading map[string]int) float64 {
	return float64(t.currentHomes+loading[t.model]) / float64(t.homes)
}

// compareAhead orders tasks that must be done before those done ahead.
func compareAhead(a, b task) int {
	switch {
	case a.ahead == b.ahead:
		return 0
	case b.ahead:
		return -1
	}
	return 1
}

// compareWithinModel orders tasks of one model, or of two of which neither has to wait:
// the replica furthest behind first, then the one with the fewest items.
func compareWithinModel(a, b task) int {
	return cmp.Or(
		compareAhead(a, b),
		cmp.Compare(b.version-b.held, a.version-a.held),
		cmp.Compare(a.runningItems, b.runningItems),
		cmp.Compare(a.target.ID, b.target.ID),
	)
}
