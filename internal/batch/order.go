package batch

import (
	"cmp"
	"slices"
)

// rankGroups decides in which order the groups of a submission are run. The
// trainer waits for a number of whole groups, whichever they are, but for
// those that stand first, which it may have asked for before. So the groups
// expected to be longest that it need not wait for go last, and of all others
// the longest go first, since they decide when the rest is whole.
func rankGroups(submission *Submission) map[string]int {
	type expectation struct {
		name   string
		place  int
		length float64
	}
	var groups []*expectation
	byName := map[string]*expectation{}
	for _, item := range submission.Items {
		standing := byName[item.Group]
		if standing == nil {
			standing = &expectation{name: item.Group, place: len(groups)}
			byName[item.Group] = standing
			groups = append(groups, standing)
		}
		standing.length = max(standing.length, item.ExpectedTokens)
	}
	desired := submission.Desired
	if desired <= 0 || desired > len(groups) {
		desired = len(groups)
	}
	byLength := slices.Clone(groups)
	slices.SortStableFunc(byLength, func(a, b *expectation) int { return cmp.Compare(b.length, a.length) })
	spare := map[string]bool{}
	for _, group := range byLength {
		if len(spare) < len(groups)-desired && group.place >= desired/2 {
			spare[group.name] = true
		}
	}
	ranks := map[string]int{}
	for _, wanted := range []bool{true, false} {
		for _, group := range byLength {
			if spare[group.name] != wanted {
				ranks[group.name] = len(ranks)
			}
		}
	}
	return ranks
}
