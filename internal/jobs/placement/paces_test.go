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

func TestPacesIsSlow(t *testing.T) {
	for _, test := range []struct {
		name      string
		intervals []int
		slow      bool
	}{
		{"equal", []int{50, 50, 50}, false},
		{"below the ratio", []int{84, 50, 50}, false},
		{"above the ratio", []int{86, 50, 50}, true},
		{"too few known paces", []int{200, 50}, false},
		{"below the reference interval", []int{16, 2, 2}, false},
	} {
		if got := pacesOf(test.intervals...).isSlow("a"); got != test.slow {
			t.Errorf("%s: slow %t", test.name, got)
		}
	}
}

func TestPacesExpectedAt(t *testing.T) {
	paces := pacesOf(40, 50, 90)
	for replica, want := range map[string]time.Duration{
		"a": 40 * time.Millisecond, "c": 90 * time.Millisecond, "unknown": 50 * time.Millisecond,
	} {
		if got := paces.expectedAt(replica); got != want {
			t.Errorf("%s: %s, want %s", replica, got, want)
		}
	}
	if got := pacesOf(40, 50).expectedAt("unknown"); got != 0 {
		t.Errorf("interval %s with too few known paces, want unknown", got)
	}
}
