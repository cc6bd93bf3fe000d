package placement

import (
	"cmp"
	"slices"
)

// longestFirstDivisor is the fraction, as 1/longestFirstDivisor, of the wanted items that
// run before the others because they are expected to be longest.
const longestFirstDivisor = 4

// Rank is an item's position among the items of its job.
type Rank struct {
	// Position is the item's position in the order of work, from 0.
	Position int
	// Reserve is set where the trainer need not wait for the item's group.
	Reserve bool
	// Inherited is set where an earlier job ended without the item's group, so that the
	// trainer waits for it in any case.
	Inherited bool
}

// RankItems decides in which order the items of a job run, and returns each item's rank
// by its id. desired is the number of whole groups that the trainer waits for, 0 for all
// of them; lengths has the items known from earlier jobs, by id.
//
// Inherited groups come first, then the wanted ones, then the reserve.
func RankItems(items []SubmittedItem, desired int, lengths map[string]Length) map[string]Rank {
	groups := groupsOf(items, lengths)
	slices.SortStableFunc(groups, func(a, b *group) int { return cmp.Compare(b.length, a.length) })
	markReserve(groups, desired)
	var inherited, wanted, reserve []SubmittedItem
	for _, group := range groups {
		switch {
		case group.inherited:
			inherited = append(inherited, group.items...)
		case group.reserve:
			reserve = append(reserve, group.items...)
		default:
			wanted = append(wanted, group.items...)
		}
	}
	sortInherited(inherited, lengths)
	sortWanted(wanted)
	ranks := map[string]Rank{}
	for position, item := range slices.Concat(inherited, wanted, reserve) {
		ranks[item.ID] = Rank{
			Position:  position,
			Reserve:   position >= len(items)-len(reserve),
			Inherited: position < len(inherited),
		}
	}
	return ranks
}

// sortInherited puts the items with the longest known texts first.
func sortInherited(items []SubmittedItem, lengths map[string]Length) {
	slices.SortStableFunc(items, func(a, b SubmittedItem) int {
		return cmp.Compare(lengths[b.ID].Expected(), lengths[a.ID].Expected())
	})
}

// sortWanted puts the items expected to be longest first, since they decide when the job
// ends, and then the others from the shortest up: short items soon free their slots, so
// items that turn out longer than expected don't start late.
func sortWanted(items []SubmittedItem) {
	slices.SortStableFunc(items, func(a, b SubmittedItem) int { return cmp.Compare(b.ExpectedTokens, a.ExpectedTokens) })
	slices.Reverse(items[len(items)/longestFirstDivisor:])
}
