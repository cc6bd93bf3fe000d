package placement

import (
	"slices"
	"time"
)

const (
	// criticalShare is the share of a completion objective that the longest text may take at
	// most replicas. Above it, a wait of a few tenths of a second makes the job late.
	criticalShare = 0.9
	// criticalReplicas is the share of the known replicas, from 0 to 1, at which the longest
	// text takes longer than that before placement is by completion time.
	criticalReplicas = 0.25
)

// CompletionCritical reports whether jobs with a completion objective depend on which replicas
// run their longest texts: whether a text of longestEvents events takes more than criticalShare
// of the objective at criticalReplicas of the known replicas or more.
func (p Paces) CompletionCritical(longestEvents int, objective time.Duration) bool {
	if p.slowQuarter == 0 || objective <= 0 {
		return false
	}
	return float64(longestEvents)*float64(p.slowQuarter) > criticalShare*float64(objective)
}

// longTextQuantile is the quantile of a job's expected lengths that stands for its longest text
// until the longest text of its model is known. Expected lengths above it are more likely to be
// wrong hints than longer texts.
const longTextQuantile = 0.97

// LongText returns the number of events that a job's long texts are expected to have, given the
// expected number of each of its texts.
func LongText(expected []int) int {
	if len(expected) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(expected))
	return sorted[int(longTextQuantile*float64(len(sorted)-1))]
}
