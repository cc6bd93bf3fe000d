package placement

// group is a group of items of one submission, with the properties that RankItems uses.
type group struct {
	items []SubmittedItem
	// position is the index of the group in the submission.
	position int
	// length is the largest ExpectedTokens of its items.
	length float64
	// inherited is set if the group is left over from an earlier job, which ran some of its
	// items but ended before the group was complete. The trainer waits for every such group.
	inherited bool
	// reserve is set if the trainer does not need to wait for the group.
	reserve bool
}

// groupsOf returns the groups of a submission in the order of their first items. It
// marks a group as inherited if lengths has one of its items: lengths holds items of
// groups that were incomplete when an earlier job ended.
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

// markReserve marks the groups in excess of the desired number as reserve, the longest
// first. It never marks inherited groups, nor the first desired/2 groups of the submission:
// a trainer puts the groups that it is still waiting for at the start of a submission.
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
