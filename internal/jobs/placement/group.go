package placement

// group is a group of items of one submission, and what RankItems knows of it.
type group struct {
	items []SubmittedItem
	// position is the group's position in the submission, from 0.
	position int
	// length is the longest answer expected of its items, in tokens.
	length float64
	// inherited is set for a group that an earlier job ended without.
	inherited bool
	// reserve is set for a group that the trainer need not wait for.
	reserve bool
}

// groupsOf returns the groups of a submission in the order of their first items. Groups
// with an item whose length is known come from an earlier job.
func groupsOf(items []SubmittedItem, lengths map[string]Length) []*group {
	var groups []*group
	byName := map[string]*group{}
	for _, item := range items {
		existing := byName[item.Group]
		if existing == nil {
			existing = &group{position: len(groups)}
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

// markReserve marks all but the desired number of groups as reserve, the longest first.
// It leaves out inherited groups and those in the first half of the desired number: a
// trainer submits the groups that it still waits for at the front, and they make up at
// most that half.
func markReserve(longestFirst []*group, desired int) {
	if desired <= 0 {
		return
	}
	surplus := len(longestFirst) - desired
	for _, candidate := range longestFirst {
		if surplus > 0 && !candidate.inherited && candidate.position >= desired/2 {
			candidate.reserve = true
			surplus--
		}
	}
}
