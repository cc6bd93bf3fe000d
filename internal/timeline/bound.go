package timeline

import (
	"math"
	"slices"
)

// leastPaced is how many events a run must have for its pace to count.
const leastPaced = 10

// paceRank is the part of the runs that are faster than the pace taken for the
// fastest: single runs have luck.
const paceRank = 0.02

// fastestPace is the time between events of the fastest runs, in seconds.
func fastestPace(finished []record) float64 {
	var paces []float64
	for _, run := range finished {
		if run.Events >= leastPaced {
			paces = append(paces, seconds(run.TookMs-run.FirstMs)/float64(run.Events-1))
		}
	}
	if len(paces) == 0 {
		return 0
	}
	slices.Sort(paces)
	return paces[int(paceRank*float64(len(paces)))]
}

// bound is the shortest time in which as many groups as desired could have been
// whole, had every item run at once, alone and at the fastest pace: that of the
// group that stands at that place when they are sorted by their longest item,
// or of the longest that the trainer waits for in any case. It takes slots for
// free, so no order of work can reach it where these are scarce.
func (s *Step) bound(leastPace float64, carried map[string]bool) float64 {
	longest := map[string]int{}
	waited := 0
	for _, run := range s.finished {
		longest[run.Group] = max(longest[run.Group], run.length())
		if carried[run.Group] && (s.end == 0 || run.at <= s.end) {
			waited = max(waited, run.length())
		}
	}
	lengths := make([]int, 0, len(longest))
	for _, length := range longest {
		lengths = append(lengths, length)
	}
	slices.Sort(lengths)
	if s.Desired <= 0 || len(lengths) < s.Desired {
		return 0
	}
	return math.Max(float64(lengths[s.Desired-1]), float64(waited)) * leastPace
}
