package v1

import (
	"encoding/json"
	"time"
)

// Duration is a time.Duration that is encoded in Go's duration syntax, such as "1.5s" or "2m".
type Duration time.Duration

// MarshalJSON implements json.Marshaler.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// UnmarshalJSON implements json.Unmarshaler. It rejects numbers, because they have no unit.
func (d *Duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return &ValueError{Found: string(data), Allowed: "a duration with its unit, such as \"2s\""}
	}
	parsed, err := time.ParseDuration(text)
	if err != nil {
		return &ValueError{Found: text, Allowed: "a duration with its unit, such as \"2s\""}
	}
	*d = Duration(parsed)
	return nil
}

// Std returns d as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }
