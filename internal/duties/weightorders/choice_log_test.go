package weightorders

import (
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"k8s.io/klog/v2"
)

// A reason that ignores the loads chosen before would blame waiting items for all of them.
func TestChoiceReason(t *testing.T) {
	speed := taskSpeed{slots: 8, waitingItems: 9, fast: true}
	slow := speed
	slow.fast = false
	for _, test := range []struct {
		chosen  task
		loading int
		want    string
	}{
		{task{model: "m"}, 0, reasonUsual},
		{task{model: "m", speed: speed}, 1, reasonWaiting},
		{task{model: "m", speed: speed}, 2, reasonFast},
		{task{model: "m", speed: slow}, 2, reasonSlow},
		{task{model: "m", speed: speed, optional: true}, 0, reasonOptional},
	} {
		if got := choiceReason(test.chosen, map[string]int{"m": test.loading}); got != test.want {
			t.Errorf("%+v with %d loads: %q, want %q", test.chosen, test.loading, got, test.want)
		}
	}
}

// Loads are chosen up to ten times a second, so that a line for each would fill the log.
func TestChoiceLogIsBounded(t *testing.T) {
	coordinator, began := NewCoordinator(Config{Logger: klog.Background(), Registry: prometheus.NewRegistry()}), time.Now()
	lines, last := 0, time.Time{}
	for tick := range 100 {
		coordinator.recordChoices([]task{{model: "m", speed: taskSpeed{slots: 8}}}, map[string]int{}, began.Add(time.Duration(tick)*pollInterval))
		if coordinator.choiceLoggedAt != last {
			last, lines = coordinator.choiceLoggedAt, lines+1
		}
	}
	if lines != 10 {
		t.Errorf("%d lines in 10 s, want 10", lines)
	}
}
