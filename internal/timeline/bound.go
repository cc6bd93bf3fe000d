package timeline

import (
	"math"
	"slices"
)

// minPaceEvents is the least number of events from which the pace of a run is computed.
const minPaceEvents = 10

// paceQuantile is the quantile of all paces that is taken as the fastest, so that single
// outliers have no effect.
const paceQuantile = 0.02

// fastestPace returns the time between events of the fastest runs, in seconds, or 0 if no
// run has enough events.
func fastestPace(finished []record) float64 {
	var paces []float64
	for _, run := range finished {
		if run.Events >= minPaceEvents {
			paces = append(paces, seconds(run.TookMs-run.FirstMs)/float64(run.Events-1))
		}
	}
	if len(paces) == 0 {
		return 0
	}
	slices.Sort(paces)
	return paces[int(paceQuantile*float64(len(paces)))]
}

// bound returns a lower bound, in seconds, of the time until the desired number of groups is
// complete. It assumes that all items start immediately and run at the fastest pace. With
// groups sorted by their longest item, the bound is the time of the group at position
// Desired, or of the longest inherited group if greater, because the trainer waits for all
// inherited groups. The bound ignores the number of slots, so it is out of reach if slots are
// scarce. It is 0 if fewer than Desired groups are known.
func (s *Step) bound(pace float64, inherited map[string]bool) float64 {
	longest := map[string]int{}
	longestInherited := 0
	for _, run := range s.finished {
		longest[run.Group] = max(longest[run.Group], run.length())
		if inherited[run.Group] && (s.end == 0 || run.at <= s.end) {
			longestInherited = max(longestInherited, run.length())
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
	return math.Max(float64(lengths[s.Desired-1]), float64(longestInherited)) * pace
}
