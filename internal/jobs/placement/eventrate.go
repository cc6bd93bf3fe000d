package placement

const (
	// rateMemory is how many of the last texts an event rate mostly rests on.
	rateWindowTexts = 500
	// leastTexts is how many texts must have ended for a rate to be believed.
	minTexts = 20
)

// EventRate learns how many events texts have for each token that was expected of
// them: what a caller calls a token need not be what an engine puts into an event.
// The zero value knows nothing.
type EventRate struct {
	texts  int
	events float64
	tokens float64
	// longest is the most events of any text.
	longest int
}

// Observe takes a text that is whole.
func (r *EventRate) Observe(expectedTokens float64, events int) {
	r.longest = max(r.longest, events)
	if expectedTokens <= 0 {
		return
	}
	const kept = 1 - 1.0/rateWindowTexts
	r.texts++
	r.events = r.events*kept + float64(events)
	r.tokens = r.tokens*kept + expectedTokens
}

// Longest is the most events of any text, 0 for none seen.
func (r *EventRate) Longest() int { return r.longest }

// Expect is how many events a text is likely to have, given how many tokens are
// expected of it; 0 for nothing known. None is expected to be longer than the longest
// so far.
func (r *EventRate) Expect(expectedTokens float64) int {
	if r.texts < minTexts || r.tokens == 0 {
		return 0
	}
	return min(r.longest, int(expectedTokens*r.events/r.tokens))
}
