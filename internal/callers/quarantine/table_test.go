package quarantine

import (
	"testing"
	"time"
)

func TestQuarantineEndsByItself(t *testing.T) {
	table := NewTable()
	table.Add(numbered(1), start.Add(time.Minute), start)
	if left := table.TimeLeft(numbered(1), start.Add(20*time.Second)); left != 40*time.Second {
		t.Errorf("%v are left of a minute after 20 s", left)
	}
	if left := table.TimeLeft(numbered(1), start.Add(time.Minute)); left != 0 {
		t.Errorf("%v are left after the end", left)
	}
	table.Add(numbered(2), start.Add(time.Hour), start.Add(time.Minute))
	if table.Len(start.Add(time.Minute)) != 1 || len(*table.current.Load()) != 1 {
		t.Error("a quarantine that is over is kept")
	}
}

// Guards against lifting a quarantine that peers reported before the store lists it.
func TestListingWithoutARequestLiftsOnlyWhatWasListed(t *testing.T) {
	table := NewTable()
	table.Add(numbered(1), start.Add(time.Minute), start)
	table.ApplyStored(map[Fingerprint]time.Time{numbered(2): start.Add(time.Minute)}, start)
	if table.TimeLeft(numbered(1), start) == 0 {
		t.Error("a request that the store does not list yet is let through")
	}
	table.ApplyStored(map[Fingerprint]time.Time{numbered(1): start.Add(time.Hour)}, start)
	if table.TimeLeft(numbered(2), start) != 0 {
		t.Error("a request that was taken out of the record is still held")
	}
	if left := table.TimeLeft(numbered(1), start); left != time.Minute {
		t.Errorf("the listing changed the end of a quarantine: %v are left", left)
	}
	table.ApplyStored(nil, start)
	if !table.IsEmpty() {
		t.Error("requests are held although the record is gone")
	}
}
