package timeline

import (
	"math"
	"slices"
)

// minPacedEvents is how many events a run must have for its pace to count.
const minPacedEvents = 10

// paceRank is the part of the runs that are faster than the pace taken for the
// fastest, so that single lucky runs do not count.
const paceRank = 0.02

// fastestPace returns the time between events of the fastest runs, in seconds, or 0
// where no run has events enough.
func fastestPace(finished []record) float64 {
	var paces []float64
	for _, run := range finished {
		if run.Events >= minPacedEvents {
			paces = append(paces, seconds(run.TookMs-run.FirstMs)/float64(run.Events-1))
		}
	}
	if len(paces) == 0 {
		return 0
	}
	slices.Sort(paces)
	return paces[int(paceRank*float64(len(paces)))]
}

// bound returns the shortest time, in seconds, in which as many groups as desired
// could have been whole, had every item run at once, alone and at the fastest
// pace: that of the group at that place when groups are sorted by their longest
// item, or of the longest inherited group if that takes longer, since the trainer
// waits for inherited groups in any case. It assumes that slots are free, so no
// order of work can reach it where they are scarce. It returns 0 where too few
// groups are known.
func (s *Step) bound(pace float64, inherited map[string]bool) float64 {
	longest := map[string]int{}
	waited := 0
	for _, run := range s.finished {
		longest[run.Group] = max(longest[run.Group], run.length())
		if inherited[run.Group] && (s.end == 0 || run.at <= s.end) {
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
	return math.Max(float64(lengths[s.Desired-1]), float64(waited)) * pace
}
