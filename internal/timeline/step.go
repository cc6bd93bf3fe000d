package timeline

// Step is the timeline of one batch job. Except for Accepted, times are in seconds since the
// job was accepted; 0 if the event did not happen or is not in the log.
type Step struct {
	Job        string `json:"job"`
	Number     int    `json:"step"`
	Model      string `json:"model"`
	MinVersion int64  `json:"minVersion"`
	Items      int    `json:"items"`
	Desired    int    `json:"desired"`
	// Accepted is the time in the log, in seconds, at which an owner first started the job.
	Accepted   float64 `json:"accepted"`
	FirstRun   float64 `json:"firstRun"`
	FirstEvent float64 `json:"firstEvent"`
	Listed50   float64 `json:"listed50"`
	Listed90   float64 `json:"listed90"`
	Listed95   float64 `json:"listed95"`
	Listed100  float64 `json:"listed100"`
	// DesiredWhole is when the desired number of groups was complete.
	DesiredWhole float64 `json:"desiredWhole"`
	Ended        float64 `json:"ended"`
	// VersionNamed is when the next weight version was named. FirstLoaded and AllLoaded
	// are when the first and the last replica that loads it had loaded it.
	VersionNamed float64 `json:"versionNamed"`
	FirstLoaded  float64 `json:"firstLoaded"`
	AllLoaded    float64 `json:"allLoaded"`

	Takeovers int `json:"takeovers"`
	// Moves is the number of runs that were canceled to continue at another replica.
	// RunAgain is the number of items with more than one run.
	Moves    int `json:"moves"`
	RunAgain int `json:"runAgain"`
	// Last is the item that the step waited for at its end; nil if no item finished.
	Last *Straggler `json:"last,omitempty"`
	// Late is the reason that the owner logged for a late end; empty if the end was not
	// late.
	Late string `json:"late,omitempty"`
	// Bound is a lower bound of the step's duration; 0 if unknown.
	Bound float64 `json:"bound"`

	// owners holds the time at which each owner started the job.
	owners   []float64
	listed   []listing
	finished []record
	// endedEarly are the runs that ended before their item was finished.
	endedEarly []record
	// end is when the job ended, in seconds of the log; 0 if unknown.
	end float64
}

// listing records that a number of results was listed at a time.
type listing struct {
	at      float64
	results int
}

// Ratio returns the duration of the step as a multiple of its bound, or 0 if either is
// unknown.
func (s *Step) Ratio() float64 {
	if s.Bound == 0 || s.Ended == 0 {
		return 0
	}
	return s.Ended / s.Bound
}
