package platform

import v1 "github.com/pathtally/pathtally/api/v1"

// Switches make the platform fail.
type Switches struct {
	// Outage refuses every request with status 503.
	Outage bool `json:"outage"`
	// Delay is added to every answer of the object API.
	Delay v1.Duration `json:"delay"`
	// LoseAnswers is how many of the next writes take effect without an
	// answer.
	LoseAnswers int `json:"loseAnswers"`
}
