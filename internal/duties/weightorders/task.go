package weightorders

import "cmp"

// task is a pending load of a version of a model by a replica.
type task struct {
	target Target
	model  string
	// version is the named version, and held the newest version that the replica is known
	// to have loaded.
	version int64
	held    int64
	// currentHomes is the number of homes of the model without a required load, and homes
	// the number of all its homes.
	currentHomes int
	homes        int
	// ahead is set if the load is optional: new jobs accept the replica's version.
	ahead bool
	// runningItems is the number of items that run at the replica.
	runningItems int
}

// currentPart returns the fraction of the model's homes that need no required load or are
// loading.
func (t task) currentPart(loading map[string]int) float64 {
	return float64(t.currentHomes+loading[t.model]) / float64(t.homes)
}

// compareAhead sorts required loads before optional ones.
func compareAhead(a, b task) int {
	switch {
	case a.ahead == b.ahead:
		return 0
	case b.ahead:
		return -1
	}
	return 1
}

// compareWithinModel compares tasks of one model, or of models with equal priority: required
// loads first, then the replica furthest behind, then the one with the fewest running
// items.
func compareWithinModel(a, b task) int {
	return cmp.Or(
		compareAhead(a, b),
		cmp.Compare(b.version-b.held, a.version-a.held),
		cmp.Compare(a.runningItems, b.runningItems),
		cmp.Compare(a.target.ID, b.target.ID),
	)
}
