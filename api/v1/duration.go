package v1

import (
	"encoding/json"
	"time"
)

// Duration is a time span written as in Go, such as "1.5s" or "2m".
type Duration time.Duration

// MarshalJSON writes the span as text.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// UnmarshalJSON reads the span from text; a number is refused because it has
// no unit.
func (d *Duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return &ValueError{Found: string(data), Allowed: "a duration with its unit, such as \"2s\""}
	}
	span, err := time.ParseDuration(text)
	if err != nil {
		return &ValueError{Found: text, Allowed: "a duration with its unit, such as \"2s\""}
	}
	*d = Duration(span)
	return nil
}

// Std returns the span as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }
