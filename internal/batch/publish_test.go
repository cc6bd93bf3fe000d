package batch

import (
	"fmt"
	"testing"
)

func TestGroupsAreListedWithoutDelayOnceMostAreWhole(t *testing.T) {
	for _, test := range []struct {
		name    string
		desired int
		groups  int
		whole   int
		nearly  bool
	}{
		{"none whole", 10, 12, 0, false},
		{"half whole", 10, 12, 5, false},
		{"most whole", 10, 12, 8, true},
		{"more desired than there are", 20, 10, 8, true},
		{"no trainer, none whole", 0, 10, 0, false},
		{"no trainer, one whole", 0, 10, 1, true},
	} {
		held := &job{submission: &Submission{Desired: test.desired}, groups: map[string]*group{}}
		for number := range test.groups {
			open := 1
			if number < test.whole {
				open = 0
			}
			held.groups[fmt.Sprint(number)] = &group{open: open}
		}
		if got := held.nearlyWhole(); got != test.nearly {
			t.Errorf("%s: %t", test.name, got)
		}
	}
}
