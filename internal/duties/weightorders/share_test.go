package weightorders

import (
	"math"
	"testing"
)

func TestSharesFollowDemand(t *testing.T) {
	models := []string{"a", "b", "c"}
	for _, test := range []struct {
		name   string
		demand map[string]float64
		want   []float64
	}{
		{"no known demand", nil, []float64{1. / 3, 1. / 3, 1. / 3}},
		{"all known", map[string]float64{"a": 100, "b": 300, "c": 600}, []float64{0.1, 0.3, 0.6}},
		{"unknown gets the mean", map[string]float64{"a": 100, "b": 300}, []float64{100. / 600, 300. / 600, 200. / 600}},
		{"other models are ignored", map[string]float64{"a": 1, "b": 1, "c": 2, "d": 100}, []float64{0.25, 0.25, 0.5}},
	} {
		for i, share := range sharesOf(models, test.demand) {
			if share.model != models[i] || math.Abs(share.fraction-test.want[i]) > 1e-9 {
				t.Errorf("%s: share %+v, want fraction %v", test.name, share, test.want[i])
			}
		}
	}
}

func TestApportion(t *testing.T) {
	for _, test := range []struct {
		replicas int
		parts    []float64
		want     []int
	}{
		{10, []float64{0.5, 0.3, 0.2}, []int{5, 3, 2}},
		{77, []float64{0.5, 0.25, 0.25}, []int{39, 19, 19}},
		{10, []float64{0.98, 0.01, 0.01}, []int{8, 1, 1}},
		{2, []float64{0.4, 0.3, 0.3}, []int{1, 1, 0}},
		{0, []float64{0.5, 0.5}, []int{0, 0}},
	} {
		var shares []share
		for i, fraction := range test.parts {
			shares = append(shares, share{model: string(rune('a' + i)), fraction: fraction})
		}
		got, sum := apportion(test.replicas, shares), 0
		for i, share := range shares {
			sum += got[share.model]
			if got[share.model] != test.want[i] {
				t.Errorf("%d replicas, shares %v: got %v, want %v", test.replicas, test.parts, got, test.want)
				break
			}
		}
		if sum != test.replicas {
			t.Errorf("%d replicas, shares %v: got %d in total", test.replicas, test.parts, sum)
		}
	}
}

// Equal numbers of homes would slow down the models with the highest demand.
func TestMoreDemandGivesMoreHomes(t *testing.T) {
	demand := map[string]float64{"small": 100, "large": 300}
	assigned := homes(replicas(40), sharesOf([]string{"small", "large"}, demand), nil)
	if small, large := len(assigned["small"]), len(assigned["large"]); small != 14 || large != 40 {
		t.Errorf("%d and %d homes, want 14 and 40", small, large)
	}
}

func TestDemandDiffers(t *testing.T) {
	planned := map[string]float64{"a": 100, "b": 200}
	for _, test := range []struct {
		demand map[string]float64
		want   bool
	}{
		{map[string]float64{"a": 120, "b": 170}, false},
		{map[string]float64{"a": 130, "b": 200}, true},
		{map[string]float64{"a": 100, "b": 140}, true},
		{map[string]float64{"a": 100}, true},
		{map[string]float64{"a": 100, "c": 200}, true},
		{map[string]float64{"a": 100, "b": 200, "c": 1}, true},
	} {
		if got := differs(planned, test.demand); got != test.want {
			t.Errorf("demand %v differs from the planned one: %v", test.demand, got)
		}
	}
}
