package admission

import "testing"

func TestDecisionsAboutEntries(t *testing.T) {
	bounds := &Bounds{MaxInFlight: 2, MaxQueue: 1}
	for _, test := range []struct {
		stopping         bool
		inFlight, queued int
		want             entry
	}{
		{false, 0, 0, entryAdmitted},
		{false, 1, 0, entryAdmitted},
		{false, 2, 0, entryQueued},
		{false, 2, 1, entryQueueFull},
		{false, 1, 1, entryQueueFull},
		{true, 0, 0, entryStopping},
		{true, 2, 1, entryStopping},
	} {
		if got := decideEntry(bounds, test.stopping, test.inFlight, test.queued); got != test.want {
			t.Errorf("stopping %v, %d in flight, %d queued: %s, want %s", test.stopping, test.inFlight, test.queued, got, test.want)
		}
	}
}
