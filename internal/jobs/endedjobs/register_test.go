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
		registry := NewRegistry()
		registry.Announce("b", began)
		registry.Learn("learned", began)
		registry.Announce("a", began)
		now := began.Add(test.after)
		registry.Evict(now)
		if got := registry.Announced(now); !slices.Equal(got, test.announced) {
			t.Errorf("%s: announced %v, want %v", test.name, got, test.announced)
		}
		if registry.Len() != test.known || registry.Has("learned") != (test.known > 0) {
			t.Errorf("%s: %d ends known, want %d", test.name, registry.Len(), test.known)
		}
	}
}

func TestRegistryLearnAnnouncedJob(t *testing.T) {
	began := time.Now()
	registry := NewRegistry()
	registry.Announce("job", began)
	registry.Learn("job", began.Add(announceTime))
	if got := registry.Announced(began.Add(announceTime + 1)); len(got) > 0 {
		t.Errorf("%v announced longer because they were learned again", got)
	}
	registry.Announce("job", began.Add(announceTime))
	if got := registry.Announced(began.Add(announceTime + 1)); len(got) != 1 {
		t.Errorf("%v announced after the end was announced again, want one job", got)
	}
}
