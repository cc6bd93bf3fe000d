package forward

import "testing"

func TestAttemptLogStartedAt(t *testing.T) {
	type outcome struct {
		replica     string
		ran, notRun bool
	}
	for _, test := range []struct {
		name     string
		sent     []string
		outcomes []outcome
		started  string
	}{
		{"response", []string{"a"}, []outcome{{"a", true, false}}, "a"},
		{"first rejected", []string{"a", "b"}, []outcome{{"a", false, true}, {"b", true, false}}, "b"},
		{"first broken", []string{"a", "b"}, []outcome{{"a", false, false}, {"b", true, false}}, "b"},
		{"all broken", []string{"a", "b"}, []outcome{{"a", false, false}, {"b", false, false}}, "a"},
		{"in progress", []string{"a"}, nil, "a"},
		{"all rejected", []string{"a", "b"}, []outcome{{"a", false, true}, {"b", false, true}}, ""},
		{"rejected, then run by the same replica", []string{"a", "a"}, []outcome{{"a", true, false}}, "a"},
		{"not sent", nil, nil, ""},
	} {
		var sent attemptLog
		for _, replica := range test.sent {
			sent.recordSent(replica)
		}
		for _, outcome := range test.outcomes {
			sent.recordEnd(outcome.replica, outcome.ran, outcome.notRun)
		}
		at, started := sent.startedAt()
		if started != (test.started != "") {
			t.Errorf("%s: started %v", test.name, started)
			continue
		}
		for _, attempt := range sent {
			if attempt.at.Equal(at) && started && attempt.replica != test.started {
				t.Errorf("%s: started at replica %s", test.name, attempt.replica)
			}
		}
	}
}
