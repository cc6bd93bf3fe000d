package placement

import "testing"

func TestEventRateExpect(t *testing.T) {
	var rate EventRate
	observe := func(texts int, tokens float64, events int) {
		for range texts {
			rate.Observe(tokens, events)
		}
	}
	expect := func(when string, tokens float64, want int) {
		t.Helper()
		if got := rate.Expect(tokens); got != want {
			t.Errorf("%s: %d events for %g tokens, want %d", when, got, tokens, want)
		}
	}
	observe(5, 0, 40)
	if rate.Longest() != 40 {
		t.Errorf("longest %d, want 40", rate.Longest())
	}
	expect("only texts without expected tokens", 100, 0)
	observe(minTexts-1, 100, 20)
	expect("one text too few", 100, 0)
	observe(1, 100, 20)
	expect("0.2 events per token", 50, 10)
	expect("as long as the longest text", 200, 40)
	expect("beyond the longest text", 1000, 40)
}
