package placement

const (
	// rateWindowTexts is the number of recent texts that dominate an event rate.
	rateWindowTexts = 500
	// minTexts is the number of texts that must have ended before a rate is used.
	minTexts = 20
)

// EventRate learns how many events an engine sends for each token that the caller
// expected: the two count different units. The zero value has learnt nothing.
type EventRate struct {
	texts  int
	events float64
	tokens float64
	// longest is the largest number of events of any text.
	longest int
}

// Observe records a complete text: the tokens that were expected of it, and its events.
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

// Longest returns the number of events of the longest text, 0 if there was none.
func (r *EventRate) Longest() int { return r.longest }

// Expect estimates the number of events of a text from the tokens expected of it. The
// estimate never exceeds the longest text so far; it is 0 until enough texts have ended.
func (r *EventRate) Expect(expectedTokens float64) int {
	if r.texts < minTexts || r.tokens == 0 {
		return 0
	}
	return min(r.longest, int(expectedTokens*r.events/r.tokens))
}
