package placement

import (
	"cmp"
	"slices"
)

// longestFirstDivisor is into how many parts the items are divided by their expected
// length, of which the longest goes first: a quarter of the items.
const longestFirstDivisor = 4

// SubmittedItem is an item as its job was handed in.
type SubmittedItem struct {
	ID    string
	Group string
	// ExpectedTokens is the caller's estimate of the answer's length, 0 for none.
	ExpectedTokens float64
}

// Rank is what an item's place among those of its job is.
type Rank struct {
	// Place is its place in the order of work.
	Position int
	// Reserve is set where the trainer need not wait for its group, and Inherited where it
	// waits for it in any case, since an earlier job ended without the group.
	Reserve   bool
	Inherited bool
}

// RankItems decides in which order the items of a job are run, as a rank for each. The
// trainer waits for a desired number of whole groups (0 for all), whichever they are,
// but for those that it has asked for before, which it waits for in any case. These go
// first, the longest of their items in front: earlier runs have shown that they are
// long. Of the others, the groups expected to be longest that the trainer need not wait
// for go last. Of the rest the quarter expected longest goes first, since it decides
// when the rest is whole, and then the shortest: they soon make room for each other, so
// that those among them that are long unforeseen are not begun late.
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
	slices.SortStableFunc(wanted, func(a, b SubmittedItem) int { return cmp.Compare(b.ExpectedTokens, a.ExpectedTokens) })
	slices.Reverse(wanted[len(wanted)/longestFirstDivisor:])
	slices.SortStableFunc(inherited, func(a, b SubmittedItem) int {
		return cmp.Compare(lengths[b.ID].Expected(), lengths[a.ID].Expected())
	})
	ranks := map[string]Rank{}
	for place, item := range slices.Concat(inherited, wanted, reserve) {
		ranks[item.ID] = Rank{Position: place, Reserve: place >= len(items)-len(reserve), Inherited: place < len(inherited)}
	}
	return ranks
}
