package endedjobs

import (
	"slices"
	"testing"
	"time"
)

func TestRegistryExpiry(t *testing.T) {
	began := time.Now()
	for _, test := range []struct {
		name      string
		after     time.Duration
		announced []string
		known     int
	}{
		{"immediately", 0, []string{"a", "b"}, 3},
		{"at the last announcement", announceTime, []string{"a", "b"}, 3},
		{"after the last announcement", announceTime + 1, nil, 3},
		{"at the end of the retention", retention, nil, 3},
		{"after the retention", retention + 1, nil, 0},
	} {
		register := NewRegistry()
		register.Announce("b", began)
		register.Learn("learned", began)
		register.Announce("a", began)
		now := began.Add(test.after)
		register.Evict(now)
		if got := register.Announced(now); !slices.Equal(got, test.announced) {
			t.Errorf("%s: announced %v, want %v", test.name, got, test.announced)
		}
		if register.Len() != test.known || register.Has("learned") != (test.known > 0) {
			t.Errorf("%s: %d ends known, want %d", test.name, register.Len(), test.known)
		}
	}
}

func TestRegistryLearnAnnouncedJob(t *testing.T) {
	began := time.Now()
	register := NewRegistry()
	register.Announce("job", began)
	register.Learn("job", began.Add(announceTime))
	if got := register.Announced(began.Add(announceTime + 1)); len(got) > 0 {
		t.Errorf("%v announced longer because they were learned again", got)
	}
	register.Announce("job", began.Add(announceTime))
	if got := register.Announced(began.Add(announceTime + 1)); len(got) != 1 {
		t.Errorf("%v announced after the end was announced again, want one job", got)
	}
}
