package placement

import (
	"strconv"
	"testing"
	"time"
)

// Guards against rules for scarce capacity that take effect in deployments that have time to
// spare, or that take none in those of the design page, which lose steps without them.
func TestCompletionCritical(t *testing.T) {
	const objective = 7500 * time.Millisecond
	for _, test := range []struct {
		name         string
		fast, slow   int
		fastInterval time.Duration
		slowInterval time.Duration
		longest      int
		objective    time.Duration
		want         bool
	}{
		{"deployment A", 30, 15, 35 * time.Millisecond, 83 * time.Millisecond, 152, objective, true},
		{"deployment B", 30, 15, 49 * time.Millisecond, 62 * time.Millisecond, 156, objective, true},
		{"all replicas fast", 45, 0, 35 * time.Millisecond, 0, 152, objective, false},
		{"less than a quarter slow", 34, 11, 35 * time.Millisecond, 83 * time.Millisecond, 152, objective, false},
		{"a quarter slow", 33, 11, 35 * time.Millisecond, 83 * time.Millisecond, 152, objective, true},
		{"exactly 0.9 of the objective", 3, 0, 45 * time.Millisecond, 0, 150, objective, false},
		{"just above 0.9 of the objective", 3, 0, 45*time.Millisecond + 1, 0, 150, objective, true},
		{"two known", 2, 0, 83 * time.Millisecond, 0, 152, objective, false},
		{"intervals of 0 are unknown", 2, 5, 83 * time.Millisecond, 0, 152, objective, false},
		{"no text known", 30, 15, 35 * time.Millisecond, 83 * time.Millisecond, 0, objective, false},
		{"no objective", 30, 15, 35 * time.Millisecond, 83 * time.Millisecond, 152, 0, false},
	} {
		intervals := map[string]time.Duration{}
		for i := range test.fast {
			intervals["fast-"+strconv.Itoa(i)] = test.fastInterval
		}
		for i := range test.slow {
			intervals["slow-"+strconv.Itoa(i)] = test.slowInterval
		}
		if got := NewPaces(intervals).WithUsual(intervals, nil).CompletionCritical(test.longest, test.objective); got != test.want {
			t.Errorf("%s: critical = %v, want %v", test.name, got, test.want)
		}
	}
}
