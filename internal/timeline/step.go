package timeline

// Step is the timeline of one batch job. Times are in seconds from its
// acceptance, 0 where something did not happen or is not in the log.
type Step struct {
	Job        string `json:"job"`
	Number     int    `json:"step"`
	Model      string `json:"model"`
	MinVersion int64  `json:"minVersion"`
	Items      int    `json:"items"`
	Desired    int    `json:"desired"`
	// Accepted is when an owner first started it, in seconds of the log.
	Accepted   float64 `json:"accepted"`
	FirstRun   float64 `json:"firstRun"`
	FirstEvent float64 `json:"firstEvent"`
	Listed50   float64 `json:"listed50"`
	Listed90   float64 `json:"listed90"`
	Listed95   float64 `json:"listed95"`
	Listed100  float64 `json:"listed100"`
	// DesiredWhole is when as many groups as desired had finished.
	DesiredWhole float64 `json:"desiredWhole"`
	Ended        float64 `json:"ended"`
	// VersionNamed is when the next weight version was named, FirstLoaded when
	// the first replica had it and AllLoaded when the last one had that did.
	VersionNamed float64 `json:"versionNamed"`
	FirstLoaded  float64 `json:"firstLoaded"`
	AllLoaded    float64 `json:"allLoaded"`

	Takeovers int `json:"takeovers"`
	// Moves counts runs that were cut to go on elsewhere, and RunAgain items
	// with more than one run.
	Moves    int `json:"moves"`
	RunAgain int `json:"runAgain"`
	// Last is what the step waited for at its end, nil if nothing finished.
	Last *Holdup `json:"last,omitempty"`
	// Late is the reason that its owner logged for a late end, empty where the end
	// was not late.
	Late string `json:"late,omitempty"`
	// Bound is the shortest time that the step could have taken.
	Bound float64 `json:"bound"`

	owners   []float64
	listed   []listing
	finished []record
	early    []record
	end      float64
}

// listing is the time at which a number of results was listed.
type listing struct {
	at      float64
	results int
}

// Ratio returns the time that the step took as a multiple of its bound, 0 where
// either is not known.
func (s *Step) Ratio() float64 {
	if s.Bound == 0 || s.Ended == 0 {
		return 0
	}
	return s.Ended / s.Bound
}
