package admission

import "testing"

func TestDecide(t *testing.T) {
	bounds := &Bounds{MaxInFlight: 2, MaxQueue: 1}
	for _, test := range []struct {
		stopping         bool
		inFlight, queued int
		want             decision
	}{
		{false, 0, 0, decisionAdmit},
		{false, 1, 0, decisionAdmit},
		{false, 2, 0, decisionQueue},
		{false, 2, 1, decisionQueueFull},
		{false, 1, 1, decisionQueueFull},
		{true, 0, 0, decisionStopping},
		{true, 2, 1, decisionStopping},
	} {
		if got := decide(bounds, test.stopping, test.inFlight, test.queued); got != test.want {
			t.Errorf("stopping %v, %d in flight, %d queued: %s, want %s", test.stopping, test.inFlight, test.queued, got, test.want)
		}
	}
}
