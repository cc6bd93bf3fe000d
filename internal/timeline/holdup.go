package timeline

// Cause is why a step waited for an item.
type Cause string

// The causes. Length is the item's own: its events at the fastest pace.
const (
	CauseTakeover Cause = "takeover"
	CauseWaiting  Cause = "waiting"
	CauseLength   Cause = "length"
	CausePace     Cause = "slow replica"
	CauseMoves    Cause = "moves"
	CauseWeights  Cause = "weights"
	CauseReward   Cause = "reward call"
	CauseListing  Cause = "listing"
)

// Part is the share of a cause in the time of a step, in seconds.
type Part struct {
	Cause   Cause   `json:"cause"`
	Seconds float64 `json:"seconds"`
}

// Holdup is the item that finished last before a step's end and where its time
// went.
type Holdup struct {
	Item    string `json:"item"`
	Group   string `json:"group"`
	Replica string `json:"replica"`
	Events  int    `json:"events"`
	Parts   []Part `json:"parts"`
	// Cause is the largest part besides the length, or the length where that is
	// larger than all others taken together.
	Cause Cause `json:"cause"`
}

// Errors of runs that end early, as package batch logs them.
const (
	// oldWeights is the error of a run at a replica with too old weights.
	oldWeights = "weights are older than allowed"
	// moved begins the error of a run that goes on at another replica; the reason
	// follows.
	moved = "run was moved"
)

// holdup finds the item that a step waited for at its end.
func (s *Step) holdup(pace float64) *Holdup {
	var last *record
	for i := range s.finished {
		if s.end > 0 && s.finished[i].at > s.end {
			continue
		}
		if last == nil || s.finished[i].at > last.at {
			last = &s.finished[i]
		}
	}
	if last == nil {
		return nil
	}
	found := &Holdup{Item: last.Request, Group: last.Group, Replica: last.Replica, Events: last.length()}
	found.Parts = s.parts(*last, pace)
	found.Cause = largest(found.Parts)
	return found
}

// parts splits the time from the acceptance to the end by cause.
func (s *Step) parts(last record, pace float64) []Part {
	runs := s.runsOf(last)
	start, takeover := s.Accepted, 0.0
	if len(s.owners) > 1 && runs[0].began() >= s.owners[len(s.owners)-1] {
		start = s.owners[len(s.owners)-1]
		takeover = start - s.Accepted
	}
	running, weights, between := 0.0, 0.0, 0.0
	for i, run := range runs {
		if run.Error == oldWeights {
			weights += seconds(run.TookMs)
		} else {
			running += seconds(run.TookMs)
		}
		if i > 0 {
			between += max(0, run.began()-runs[i-1].ended())
		}
	}
	length := float64(last.length()-runs[0].FromEvent) * pace
	listing := 0.0
	if s.end > 0 {
		listing = s.end - last.at
	}
	return []Part{
		{CauseTakeover, takeover}, {CauseWaiting, max(0, runs[0].began()-start)}, {CauseLength, length}, {CausePace, max(0, running-length)},
		{CauseMoves, between}, {CauseWeights, weights}, {CauseReward, seconds(last.RewardMs)}, {CauseListing, listing},
	}
}

// runsOf returns the runs of an item under the owner that finished it, in order.
func (s *Step) runsOf(last record) []record {
	taken := s.owners[len(s.owners)-1]
	var runs []record
	for _, run := range s.early {
		if run.Request == last.Request && run.at <= last.at && (run.at >= taken || last.at < taken) {
			runs = append(runs, run)
		}
	}
	return append(runs, last)
}

// largest returns the cause that explains most of a step's time.
func largest(parts []Part) Cause {
	length, others := 0.0, 0.0
	best := Part{Cause: CauseLength}
	for _, part := range parts {
		if part.Cause == CauseLength {
			length = part.Seconds
			continue
		}
		others += part.Seconds
		if part.Seconds > best.Seconds {
			best = part
		}
	}
	if length >= others {
		return CauseLength
	}
	return best.Cause
}
