package storerelay

import (
	"slices"
	"testing"
)

func TestChosenHelpers(t *testing.T) {
	all := []string{"first", "second", "third", "fourth", "current"}
	for _, test := range []struct {
		name       string
		candidates []string
		excluded   []string
		want       []string
	}{
		{"at most maxHelpers", all, nil, []string{"first", "second", "third"}},
		{"excluded ones are skipped", all, []string{"first", "third"}, []string{"second", "fourth", "current"}},
		{"all are excluded", all, all, []string{"current"}},
		{"no candidates", nil, nil, nil},
	} {
		isExcluded := func(address string) bool { return slices.Contains(test.excluded, address) }
		if got := chooseHelpers(test.candidates, isExcluded); !slices.Equal(got, test.want) {
			t.Errorf("%s: %v, want %v", test.name, got, test.want)
		}
	}
}
