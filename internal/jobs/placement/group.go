package placement

// group is what is expected of a group of items.
type group struct {
	items []SubmittedItem
	// place is the group's place in the submission.
	place int
	// length is the longest answer expected, in tokens.
	length float64
	// inherited is set for a group that an earlier job ended without.
	inherited bool
	// reserve is set for a group that the trainer need not wait for.
	reserve bool
}

// groupsOf returns the groups of a submission in its order.
func groupsOf(items []SubmittedItem, lengths map[string]Length) []*group {
	var groups []*group
	byName := map[string]*group{}
	for _, item := range items {
		existing := byName[item.Group]
		if existing == nil {
			existing = &group{place: len(groups)}
			byName[item.Group] = existing
			groups = append(groups, existing)
		}
		existing.items = append(existing.items, item)
		existing.length = max(existing.length, item.ExpectedTokens)
		if _, known := lengths[item.ID]; known {
			existing.inherited = true
		}
	}
	return groups
}

// markReserve marks the groups that the trainer need not wait for: the longest of those
// that cannot have been asked for before. Groups asked for before make up at most half of
// the desired ones and come first.
func markReserve(longestFirst []*group, desired int) {
	if desired <= 0 {
		return
	}
	left := len(longestFirst) - desired
	for _, candidate := range longestFirst {
		if left > 0 && !candidate.inherited && candidate.place >= desired/2 {
			candidate.reserve = true
			left--
		}
	}
}
