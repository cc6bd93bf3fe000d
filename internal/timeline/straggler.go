package timeline

// Cause is a reason why a step waited for an item.
type Cause string

// The causes. CauseLength is the time that the item's events take at the fastest pace.
const (
	CauseTakeover    Cause = "takeover"
	CauseWaiting     Cause = "waiting"
	CauseLength      Cause = "length"
	CauseSlowReplica Cause = "slow replica"
	CauseMoves       Cause = "moves"
	CauseWeights     Cause = "weights"
	CauseReward      Cause = "reward call"
	CauseListing     Cause = "listing"
)

// Part is the part of a step's time that a cause accounts for.
type Part struct {
	Cause   Cause   `json:"cause"`
	Seconds float64 `json:"seconds"`
}

// Straggler is the item that finished last before a step's end, with the time from the step's
// acceptance to its end split by cause.
type Straggler struct {
	Item    string `json:"item"`
	Group   string `json:"group"`
	Replica string `json:"replica"`
	Events  int    `json:"events"`
	Parts   []Part `json:"parts"`
	// Cause is the cause of the largest part other than the length, or CauseLength if that
	// part is at least as large as all others together.
	Cause Cause `json:"cause"`
}

// Errors that package batch logs for runs that end early.
const (
	// errorOldWeights is the error of a run at a replica whose weights are too old.
	errorOldWeights = "weights are older than allowed"
	// errorMoved is the prefix, followed by the reason, of the error of a run that continues
	// at another replica.
	errorMoved = "run was moved"
)

// straggler returns the item that finished last before the end of the step, or nil if none
// has finished.
func (s *Step) straggler(pace float64) *Straggler {
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
	result := &Straggler{Item: last.Request, Group: last.Group, Replica: last.Replica, Events: last.length()}
	result.Parts = s.parts(*last, pace)
	result.Cause = largestCause(result.Parts)
	return result
}

// parts splits the time from the step's acceptance to its end by cause, given its straggler.
func (s *Step) parts(last record, pace float64) []Part {
	runs := s.runsOf(last)
	start, takeover := s.Accepted, 0.0
	if len(s.owners) > 1 && runs[0].start() >= s.owners[len(s.owners)-1] {
		start = s.owners[len(s.owners)-1]
		takeover = start - s.Accepted
	}
	running, weights, between := 0.0, 0.0, 0.0
	for i, run := range runs {
		if run.Error == errorOldWeights {
			weights += seconds(run.TookMs)
		} else {
			running += seconds(run.TookMs)
		}
		if i > 0 {
			between += max(0, run.start()-runs[i-1].end())
		}
	}
	length := float64(last.length()-runs[0].FromEvent) * pace
	listing := 0.0
	if s.end > 0 {
		listing = s.end - last.at
	}
	return []Part{
		{CauseTakeover, takeover}, {CauseWaiting, max(0, runs[0].start()-start)}, {CauseLength, length}, {CauseSlowReplica, max(0, running-length)},
		{CauseMoves, between}, {CauseWeights, weights}, {CauseReward, seconds(last.RewardMs)}, {CauseListing, listing},
	}
}

// runsOf returns, in order, the runs of the straggler under the owner that finished it.
func (s *Step) runsOf(last record) []record {
	lastTakeover := s.owners[len(s.owners)-1]
	var runs []record
	for _, run := range s.endedEarly {
		if run.Request == last.Request && run.at <= last.at && (run.at >= lastTakeover || last.at < lastTakeover) {
			runs = append(runs, run)
		}
	}
	return append(runs, last)
}

// largestCause returns the value of Straggler.Cause for the given parts.
func largestCause(parts []Part) Cause {
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
