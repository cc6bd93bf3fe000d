package placement

// group is what is expected of a group of items.
type group struct {
	items []Submitted
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
func groupsOf(items []Submitted, lengths map[string]Length) []*group {
	var groups []*group
	byName := map[string]*group{}
	for _, item := range items {
		standing := byName[item.Group]
		if standing == nil {
			standing = &group{place: len(groups)}
			byName[item.Group] = standing
			groups = append(groups, standing)
		}
		standing.items = append(standing.items, item)
		standing.length = max(standing.length, item.ExpectedTokens)
		if _, known := lengths[item.ID]; known {
			standing.carried = true
		}
	}
	return groups
}

// markSpare marks the groups that the trainer need not wait for: the longest of those
// that cannot have been asked for before. Groups asked for before make up at most half
// of the desired ones and stand first.
func markSpare(longestFirst []*group, desired int) {
	if desired <= 0 {
		return
	}
	left := len(longestFirst) - desired
	for _, candidate := range longestFirst {
		if left > 0 && !candidate.carried && candidate.place >= desired/2 {
			candidate.spare = true
			left--
		}
	}
}
