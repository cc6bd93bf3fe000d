package weightorders

import (
	"slices"
	"testing"
)

func TestChooseLoads(t *testing.T) {
	required := func(replica, model string) task {
		return task{target: Target{ID: replica}, model: model, version: 2, loadedVersion: 1, homes: 8}
	}
	optional := func(replica, model string) task {
		return task{target: Target{ID: replica}, model: model, version: 2, loadedVersion: 1, homes: 4, upToDateHomes: 4, optional: true}
	}
	for name, test := range map[string]struct {
		pending  []task
		loading  map[string]int
		maxLoads int
		want     []string
	}{
		"no tasks":                    {nil, nil, 4, nil},
		"maximum already running":     {[]task{required("1", "m")}, map[string]int{"m": 1, "n": 1}, 2, nil},
		"up to the maximum":           {[]task{required("1", "m"), required("2", "m"), required("3", "m")}, map[string]int{"n": 1}, 3, []string{"1", "2"}},
		"one load per replica":        {[]task{required("1", "m"), required("1", "n")}, nil, 4, []string{"1"}},
		"round robin over the models": {[]task{required("1", "m"), required("2", "m"), required("3", "n"), required("4", "n")}, nil, 2, []string{"1", "3"}},
		"required before optional":    {[]task{optional("1", "m"), required("2", "n")}, nil, 1, []string{"2"}},
		"limit of optional loads":     {[]task{optional("1", "m"), optional("2", "m"), optional("3", "m")}, nil, 4, []string{"1", "2"}},
	} {
		loading := test.loading
		if loading == nil {
			loading = map[string]int{}
		}
		var chosen []string
		for _, next := range chooseLoads(test.pending, loading, test.maxLoads) {
			chosen = append(chosen, next.target.ID)
		}
		if !slices.Equal(chosen, test.want) {
			t.Errorf("%s: chose %v, want %v", name, chosen, test.want)
		}
	}
}
