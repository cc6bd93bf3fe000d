package placement

import "testing"

func TestWhatATextIsExpectedToMakeYet(t *testing.T) {
	for _, test := range []struct{ expected, made, longest, want int }{
		{0, 0, 0, 0}, {100, 30, 146, 70}, {200, 30, 146, 116}, {50, 80, 146, 48}, {50, 120, 146, 26}, {50, 146, 146, 87}, {0, 50, 0, 30},
	} {
		if got := Remaining(test.expected, test.made, test.longest); got != test.want {
			t.Errorf("%+v: %d", test, got)
		}
	}
}
