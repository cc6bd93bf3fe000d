package placement

import (
	"cmp"
	"slices"
)

// longestFirstDivisor sets the fraction, 1/longestFirstDivisor, of the wanted items that run
// first because they are expected to be longest.
const longestFirstDivisor = 4

// Rank is the position of an item in the order in which the items of its job run.
type Rank struct {
	// Position starts at 0.
	Position int
	// Reserve is set if the trainer does not need to wait for the item's group.
	Reserve bool
	// Inherited is set if an earlier job ended without results for the item's group, so that
	// the trainer always waits for the group.
	Inherited bool
}

// RankItems returns the rank of each item of a job by item id. desired is the number of
// complete groups that the trainer waits for, 0 for all of them. lengths holds the known
// lengths of items of earlier jobs by id.
//
// Inherited groups run first, then wanted groups, then reserve groups.
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

// sortInherited sorts items by their expected text length, longest first.
func sortInherited(items []SubmittedItem, lengths map[string]Length) {
	slices.SortStableFunc(items, func(a, b SubmittedItem) int {
		return cmp.Compare(lengths[b.ID].Expected(), lengths[a.ID].Expected())
	})
}

// sortWanted puts the longest items first, since they determine when the job ends, and then
// the others from shortest to longest. Short items free their slots soon, so that items that
// turn out longer than expected do not start late.
func sortWanted(items []SubmittedItem) {
	slices.SortStableFunc(items, func(a, b SubmittedItem) int { return cmp.Compare(b.ExpectedTokens, a.ExpectedTokens) })
	slices.Reverse(items[len(items)/longestFirstDivisor:])
}
