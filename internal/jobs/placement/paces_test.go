package placement

import (
	"testing"
	"time"
)

// pacesOf returns the paces of replicas a, b, ... from intervals in milliseconds.
func pacesOf(intervals ...int) Paces {
	known := map[string]time.Duration{}
	for number, interval := range intervals {
		known[string(rune('a'+number))] = time.Duration(interval) * time.Millisecond
	}
	return NewPaces(known)
}

func TestSlowReplicasAreTheOnesFarAboveTheMedian(t *testing.T) {
	for _, test := range []struct {
		name      string
		intervals []int
		slow      bool
	}{
		{"alike", []int{50, 50, 50}, false},
		{"below the ratio", []int{84, 50, 50}, false},
		{"above the ratio", []int{86, 50, 50}, true},
		{"too few known to compare", []int{200, 50}, false},
		{"fast enough for the difference not to matter", []int{16, 2, 2}, false},
	} {
		if got := pacesOf(test.intervals...).isSlow("a"); got != test.slow {
			t.Errorf("%s: %t", test.name, got)
		}
	}
}

func TestIntervalExpectedAtAReplica(t *testing.T) {
	paces := pacesOf(40, 50, 90)
	for replica, want := range map[string]time.Duration{
		"a": 40 * time.Millisecond, "c": 90 * time.Millisecond, "unknown": 50 * time.Millisecond,
	} {
		if got := paces.expectedAt(replica); got != want {
			t.Errorf("%s: %s, want %s", replica, got, want)
		}
	}
	if got := pacesOf(40, 50).expectedAt("unknown"); got != 0 {
		t.Errorf("%s where too few paces are known", got)
	}
}
