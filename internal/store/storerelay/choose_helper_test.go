package storerelay

import (
	"slices"
	"testing"
)

func TestChooseHelpers(t *testing.T) {
	all := []string{"first", "second", "third", "fourth", "current"}
	for _, test := range []struct {
		name       string
		candidates []string
		excluded   []string
		want       []string
	}{
		{"at most maxHelpers", all, nil, []string{"first", "second", "third"}},
		{"excluded helpers are skipped", all, []string{"first", "third"}, []string{"second", "fourth", "current"}},
		{"all excluded", all, all, []string{"current"}},
		{"no candidates", nil, nil, nil},
	} {
		isExcluded := func(address string) bool { return slices.Contains(test.excluded, address) }
		if got := chooseHelpers(test.candidates, isExcluded); !slices.Equal(got, test.want) {
			t.Errorf("%s: helpers %v, want %v", test.name, got, test.want)
		}
	}
}
