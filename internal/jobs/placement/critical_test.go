package placement

import (
	"math/rand/v2"
	"testing"
	"time"
)

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
		{"longest text below the share at slow replicas", 30, 15, 35, 83, 78, stepObjective, false},
		{"longest text above the share at slow replicas", 30, 15, 35, 83, 85, stepObjective, true},
		{"equal replicas", 45, 0, 42, 0, 152, stepObjective, false},
		{"equal replicas, too slow for the longest text", 45, 0, 49, 0, 156, stepObjective, true},
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
