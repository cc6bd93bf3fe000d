package placement

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"
)

// Guards against rules for scarce capacity that take effect in deployments that have time to
// spare, or that take none in those of the design page, which lose steps without them.
func TestCompletionCriticalThresholds(t *testing.T) {
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
		{"exactly the objective", 3, 1, 30 * time.Millisecond, 50 * time.Millisecond, 150, objective, false},
		{"just above the objective", 3, 1, 30 * time.Millisecond, 50*time.Millisecond + 1, 150, objective, true},
		{"in time at all uneven replicas", 30, 15, 43 * time.Millisecond, 57 * time.Millisecond, 127, objective, false},
		{"equal replicas, too slow for the longest text", 45, 0, 50 * time.Millisecond, 0, 156, objective, false},
		{"just below 1.2 times slower", 33, 12, 50 * time.Millisecond, 60*time.Millisecond - 1, 156, objective, false},
		{"1.2 times slower", 33, 12, 50 * time.Millisecond, 60 * time.Millisecond, 156, objective, true},
		{"two known", 1, 1, 35 * time.Millisecond, 83 * time.Millisecond, 152, objective, false},
		{"intervals of 0 are unknown", 1, 5, 83 * time.Millisecond, 0, 152, objective, false},
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

// Guards against changing the placement of deployments that do not depend on it, and against not
// changing it where a quarter of the replicas are too slow for the longest text.
func TestCompletionCritical(t *testing.T) {
	for _, test := range []struct {
		name           string
		fast, slow     int
		fastMs, slowMs int
		longest        int
		objective      time.Duration
		critical       bool
	}{
		{"deployment A", 30, 15, 35, 83, 152, stepObjective, true},
		{"deployment B", 30, 15, 49, 62, 156, stepObjective, true},
		{"less than a quarter slow", 36, 9, 35, 83, 152, stepObjective, false},
		{"a quarter slow", 33, 12, 35, 83, 152, stepObjective, true},
		{"longest text below the objective at slow replicas", 30, 15, 35, 83, 85, stepObjective, false},
		{"longest text above the objective at slow replicas", 30, 15, 35, 83, 95, stepObjective, true},
		{"equal replicas", 45, 0, 42, 0, 152, stepObjective, false},
		{"equal replicas, too slow for the longest text", 45, 0, 49, 0, 156, stepObjective, false},
		{"short texts", 30, 15, 35, 83, 30, stepObjective, false},
		{"texts of unknown length", 30, 15, 35, 83, 0, stepObjective, false},
		{"no objective", 30, 15, 35, 83, 152, 0, false},
		{"too few known replicas", 1, minKnownPaces - 2, 35, 83, 152, stepObjective, false},
		{"few known replicas", 1, minKnownPaces - 1, 35, 83, 152, stepObjective, true},
		{"no known replicas", 0, 0, 0, 0, 152, stepObjective, false},
	} {
		paces, _ := unevenReplicas(rand.New(rand.NewPCG(17, 18)), test.fast, test.slow, test.fastMs, test.slowMs, 8)
		if got := paces.CompletionCritical(test.longest, test.objective); got != test.critical {
			t.Errorf("%s: critical %t", test.name, got)
		}
	}
}

// Guards against a single hint that is too long, and against a job that does not count as
// critical because most of its texts are short.
func TestLongText(t *testing.T) {
	expected := make([]int, 100)
	for number := range expected {
		expected[number] = 10
	}
	copy(expected, []int{240, 150, 140, 130, 120, 110, 100, 90})
	if got := LongText(expected); got < 120 || got > 150 {
		t.Errorf("long text of %d events", got)
	}
	if got := LongText(nil); got != 0 {
		t.Errorf("long text of %d events without items", got)
	}
	if got := LongText([]int{7}); got != 7 {
		t.Errorf("long text of %d events for one item of 7", got)
	}
}

// Guards against bounding texts by the longest one while only short texts can be complete.
func TestLengthLimit(t *testing.T) {
	var rate EventRate
	for range minTextsForLongest - 1 {
		rate.Observe(100, 20)
	}
	if limit, expected := rate.LengthLimit(), rate.ExpectUnbounded(502); limit != 0 || expected != 100 {
		t.Errorf("limit %d and expected %d events after %d texts", limit, expected, minTextsForLongest-1)
	}
	rate.Observe(100, 20)
	if limit, expected := rate.LengthLimit(), rate.ExpectUnbounded(502); limit != 20 || expected != 20 {
		t.Errorf("limit %d and expected %d events after %d texts", limit, expected, minTextsForLongest)
	}
}
