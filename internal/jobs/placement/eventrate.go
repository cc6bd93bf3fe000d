package placement

const (
	// rateWindowTexts is the approximate number of recent texts that determine an event
	// rate.
	rateWindowTexts = 500
	// minTexts is the number of complete texts required before a rate is used.
	minTexts = 20
	// minTextsForLongest is the number of complete texts, those of about two jobs, from which the
	// longest one bounds the length of others. The first texts to complete are the shortest.
	minTextsForLongest = 300
)

// EventRate estimates how many events an engine sends per token that the caller expects.
// The zero value has no observations.
type EventRate struct {
	texts  int
	events float64
	tokens float64
	// longest is the number of events of the longest text.
	longest int
}

// Observe records a complete text: its expected number of tokens and its number of events.
func (r *EventRate) Observe(expectedTokens float64, events int) {
	r.longest = max(r.longest, events)
	if expectedTokens <= 0 {
		return
	}
	const decay = 1 - 1.0/rateWindowTexts
	r.texts++
	r.events = r.events*decay + float64(events)
	r.tokens = r.tokens*decay + expectedTokens
}

// Longest returns the number of events of the longest text, or 0 without observations.
func (r *EventRate) Longest() int { return r.longest }

// Texts returns the number of observed texts.
func (r *EventRate) Texts() int { return r.texts }

// LengthLimit returns the number of events that no text is expected to exceed, or 0 until
// minTextsForLongest texts have been observed.
func (r *EventRate) LengthLimit() int {
	if r.texts < minTextsForLongest {
		return 0
	}
	return r.longest
}

// ExpectUnbounded estimates the number of events of a text as Expect does, but bounds the
// estimate only by LengthLimit.
func (r *EventRate) ExpectUnbounded(expectedTokens float64) int {
	if r.texts < minTexts || r.tokens == 0 {
		return 0
	}
	expected := int(expectedTokens * r.events / r.tokens)
	if limit := r.LengthLimit(); limit > 0 {
		return min(limit, expected)
	}
	return expected
}

// Expect estimates the number of events of a text from its expected number of tokens. The
// estimate does not exceed the longest text so far. It is 0 until minTexts texts have been
// observed.
func (r *EventRate) Expect(expectedTokens float64) int {
	if r.texts < minTexts || r.tokens == 0 {
		return 0
	}
	return min(r.longest, int(expectedTokens*r.events/r.tokens))
}
