package forward

import "testing"

func TestWhenARequestBegan(t *testing.T) {
	type end struct {
		replica     string
		ran, notRun bool
	}
	for _, test := range []struct {
		name  string
		sent  []string
		ends  []end
		began string
	}{
		{"answered", []string{"a"}, []end{{"a", true, false}}, "a"},
		{"turned away first", []string{"a", "b"}, []end{{"a", false, true}, {"b", true, false}}, "b"},
		{"broken first", []string{"a", "b"}, []end{{"a", false, false}, {"b", true, false}}, "b"},
		{"broken everywhere", []string{"a", "b"}, []end{{"a", false, false}, {"b", false, false}}, "a"},
		{"not ended", []string{"a"}, nil, "a"},
		{"turned away everywhere", []string{"a", "b"}, []end{{"a", false, true}, {"b", false, true}}, ""},
		{"turned away, then taken there", []string{"a", "a"}, []end{{"a", true, false}}, "a"},
		{"never sent", nil, nil, ""},
	} {
		var sent attemptLog
		for _, replica := range test.sent {
			sent.recordSent(replica)
		}
		for _, ended := range test.ends {
			sent.recordEnd(ended.replica, ended.ran, ended.notRun)
		}
		at, began := sent.startedAt()
		if began != (test.began != "") {
			t.Errorf("%s: began %v", test.name, began)
			continue
		}
		for _, one := range sent {
			if one.at.Equal(at) && began && one.replica != test.began {
				t.Errorf("%s: began at %s", test.name, one.replica)
			}
		}
	}
}
