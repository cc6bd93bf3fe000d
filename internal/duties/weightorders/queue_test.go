package weightorders

import (
	"slices"
	"testing"
)

func TestChooseLoads(t *testing.T) {
	required := func(replica, model string) task {
		return task{target: Target{ID: replica}, model: model, version: 2, held: 1, homes: 8}
	}
	ahead := func(replica, model string) task {
		return task{target: Target{ID: replica}, model: model, version: 2, held: 1, homes: 4, currentHomes: 4, ahead: true}
	}
	for name, test := range map[string]struct {
		open    []task
		loading map[string]int
		atOnce  int
		want    []string
	}{
		"nothing to do":                    {nil, nil, 4, nil},
		"no room beside those under way":   {[]task{required("1", "m")}, map[string]int{"m": 1, "n": 1}, 2, nil},
		"as many as there is room for":     {[]task{required("1", "m"), required("2", "m"), required("3", "m")}, map[string]int{"n": 1}, 3, []string{"1", "2"}},
		"one model a replica":              {[]task{required("1", "m"), required("1", "n")}, nil, 4, []string{"1"}},
		"round robin over the models":      {[]task{required("1", "m"), required("2", "m"), required("3", "n"), required("4", "n")}, nil, 2, []string{"1", "3"}},
		"required ones before those ahead": {[]task{ahead("1", "m"), required("2", "n")}, nil, 1, []string{"2"}},
		"half of the homes load ahead":     {[]task{ahead("1", "m"), ahead("2", "m"), ahead("3", "m")}, nil, 4, []string{"1", "2"}},
	} {
		loading := test.loading
		if loading == nil {
			loading = map[string]int{}
		}
		var chosen []string
		for _, next := range chooseLoads(test.open, loading, test.atOnce) {
			chosen = append(chosen, next.target.ID)
		}
		if !slices.Equal(chosen, test.want) {
			t.Errorf("%s: %v, want %v", name, chosen, test.want)
		}
	}
}
