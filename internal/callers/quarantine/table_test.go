package quarantine

import (
	"testing"
	"time"
)

func TestTableExpiry(t *testing.T) {
	table := NewTable()
	table.Add(testFingerprint(1), testStart.Add(time.Minute), testStart)
	if remaining := table.Remaining(testFingerprint(1), testStart.Add(20*time.Second)); remaining != 40*time.Second {
		t.Errorf("%v remaining of 1m after 20s", remaining)
	}
	if remaining := table.Remaining(testFingerprint(1), testStart.Add(time.Minute)); remaining != 0 {
		t.Errorf("%v remaining after the end", remaining)
	}
	table.Add(testFingerprint(2), testStart.Add(time.Hour), testStart.Add(time.Minute))
	if table.Len(testStart.Add(time.Minute)) != 1 || len(*table.current.Load()) != 1 {
		t.Error("expired quarantine kept")
	}
}

// Guards against lifting a quarantine that peers reported before the store lists it.
func TestTableApplyStored(t *testing.T) {
	table := NewTable()
	table.Add(testFingerprint(1), testStart.Add(time.Minute), testStart)
	table.ApplyStored(map[Fingerprint]time.Time{testFingerprint(2): testStart.Add(time.Minute)}, testStart)
	if table.Remaining(testFingerprint(1), testStart) == 0 {
		t.Error("request that the record does not list yet is admitted")
	}
	table.ApplyStored(map[Fingerprint]time.Time{testFingerprint(1): testStart.Add(time.Hour)}, testStart)
	if table.Remaining(testFingerprint(2), testStart) != 0 {
		t.Error("request removed from the record is still quarantined")
	}
	if remaining := table.Remaining(testFingerprint(1), testStart); remaining != time.Minute {
		t.Errorf("the record changed the end of a quarantine: %v remaining", remaining)
	}
	table.ApplyStored(nil, testStart)
	if !table.IsEmpty() {
		t.Error("requests quarantined although the record is gone")
	}
}
