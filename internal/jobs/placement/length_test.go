package placement

import "testing"

func TestRemaining(t *testing.T) {
	for _, test := range []struct{ expected, generated, longest, want int }{
		{0, 0, 0, 0}, {100, 30, 146, 70}, {200, 30, 146, 116}, {50, 80, 146, 48}, {50, 120, 146, 26}, {50, 146, 146, 87}, {0, 50, 0, 30},
	} {
		if got := Remaining(test.expected, test.generated, test.longest); got != test.want {
			t.Errorf("%+v: got %d", test, got)
		}
	}
}

func TestLengthExpected(t *testing.T) {
	for _, test := range []struct {
		length Length
		want   int
	}{
		{Length{}, 0}, {Length{Events: 30, Complete: true}, 30}, {Length{Events: 30}, 30 + expectedFurtherEvents},
	} {
		if got := test.length.Expected(); got != test.want {
			t.Errorf("%+v: got %d events, want %d", test.length, got, test.want)
		}
	}
}
