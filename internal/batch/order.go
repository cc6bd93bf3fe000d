package batch

import (
	"cmp"
	"slices"
)

// rankItems decides in which order the items of a submission are run, as a rank
// for each. The trainer waits for a number of whole groups, whichever they are,
// but for those that it has asked for before, which it waits for in any case.
// These go first, the longest of their items in front: earlier runs have shown
// that they are long. Of the others, the groups expected to be longest that the
// trainer need not wait for go last. Of the rest the quarter expected longest
// goes first, since it decides when the rest is whole, and then the shortest:
// they soon make room for each other, so that those among them that are long
// unforeseen are not begun late.
func rankItems(submission *Submission, lengths map[string]knownLength) map[string]int {
	groups := groupsOf(submission, lengths)
	slices.SortStableFunc(groups, func(a, b *expectation) int { return cmp.Compare(b.length, a.length) })
	markSpare(groups, submission.Desired)
	var carried, wanted, spare []*Item
	for _, group := range groups {
		switch {
		case group.carried:
			carried = append(carried, group.items...)
		case group.spare:
			spare = append(spare, group.items...)
		default:
			wanted = append(wanted, group.items...)
		}
	}
	slices.SortStableFunc(wanted, func(a, b *Item) int { return cmp.Compare(b.ExpectedTokens, a.ExpectedTokens) })
	slices.Reverse(wanted[len(wanted)/longestPart:])
	slices.SortStableFunc(carried, func(a, b *Item) int {
		return cmp.Compare(lengths[b.ID].expected(), lengths[a.ID].expected())
	})
	ranks := map[string]int{}
	for _, item := range slices.Concat(carried, wanted, spare) {
		ranks[item.ID] = len(ranks)
	}
	return ranks
}

// longestPart is the part of the items that go first because they are expected
// to be the longest.
const longestPart = 4

// expectation is what is expected of a group of items.
type expectation struct {
	items []*Item
	// place is the group's place in the submission.
	place int
	// length is the longest answer expected, in tokens.
	length float64
	// carried is set for a group that an earlier job ended without.
	carried bool
	// spare is set for a group that the trainer need not wait for.
	spare bool
}

// groupsOf returns the groups of a submission in its order.
func groupsOf(submission *Submission, lengths map[string]knownLength) []*expectation {
	var groups []*expectation
	byName := map[string]*expectation{}
	for _, item := range submission.Items {
		group := byName[item.Group]
		if group == nil {
			group = &expectation{place: len(groups)}
			byName[item.Group] = group
			groups = append(groups, group)
		}
		group.items = append(group.items, item)
		group.length = max(group.length, item.ExpectedTokens)
		if _, known := lengths[item.ID]; known {
			group.carried = true
		}
	}
	return groups
}

// markSpare marks the groups that the trainer need not wait for: the longest of
// those that cannot have been asked for before. Groups asked for before make up
// at most half of the desired ones and stand first.
func markSpare(longestFirst []*expectation, desired int) {
	if desired <= 0 {
		return
	}
	left := len(longestFirst) - desired
	for _, group := range longestFirst {
		if left > 0 && !group.carried && group.place >= desired/2 {
			group.spare = true
			left--
		}
	}
}
