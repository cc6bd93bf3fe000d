package placement

import (
	"fmt"
	"slices"
	"strings"
	"testing"
)

// runOrder returns the ids of a submission's items in the order in which they run.
func runOrder(submission submission, lengths map[string]Length) string {
	ranks := RankItems(submission.items, submission.desired, lengths)
	ids := make([]string, len(ranks))
	for id, rank := range ranks {
		ids[rank.Position] = id
	}
	return strings.Join(ids, " ")
}

// submission is a submitted job.
type submission struct {
	items   []SubmittedItem
	desired int
}

// submissionOf returns a submission of groups a, b, ... of two items each, with the given
// expected lengths.
func submissionOf(desired int, lengths ...float64) submission {
	created := submission{desired: desired}
	for index, length := range lengths {
		group := string(rune('a' + index/2))
		created.items = append(created.items, SubmittedItem{ID: fmt.Sprintf("%s%d", group, index%2), Group: group, ExpectedTokens: length})
	}
	return created
}

func TestRankItemsInheritedFirst(t *testing.T) {
	submission := submissionOf(0, 1, 1, 9, 8, 1, 1)
	lengths := map[string]Length{"c0": {Events: 30, Complete: true}, "c1": {Events: 20}, "a0": {Events: 90, Complete: true}}
	order := strings.Fields(runOrder(submission, lengths))
	// c1 was canceled after 20 events and is expected to have 20 more. a1 is inherited
	// because of its group, and its length is unknown.
	if want := []string{"a0", "c1", "c0"}; !slices.Equal(order[:3], want) {
		t.Errorf("order %v does not start with %v", order, want)
	}
	if order[3] != "a1" {
		t.Errorf("order %v has other items before an item of an inherited group", order)
	}
}

func TestRankItemsReserveLast(t *testing.T) {
	order := runOrder(submissionOf(3, 1, 1, 2, 2, 3, 3, 9, 9), nil)
	if !strings.HasSuffix(order, "d0 d1") {
		t.Errorf("order %s does not end with the reserve group", order)
	}
	// Groups in the first half of the desired number may have been requested before, so
	// they are never in reserve.
	order = runOrder(submissionOf(3, 9, 9, 2, 2, 3, 3, 1, 1), nil)
	if strings.HasSuffix(order, "a0 a1") {
		t.Errorf("order %s has a group last that the trainer may wait for", order)
	}
}

func TestRankItemsWantedOrder(t *testing.T) {
	order := runOrder(submissionOf(0, 5, 1, 9, 2, 8, 3, 7, 4), nil)
	if want := "b0 c0 a1 b1 c1 d1 a0 d0"; order != want {
		t.Errorf("order %s, want %s", order, want)
	}
}
