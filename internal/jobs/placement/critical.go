package placement

import (
	"slices"
	"time"
)

// criticalReplicasDivisor sets the fraction, 1/criticalReplicasDivisor, of the known replicas at
// which the longest text has to miss the objective. Texts can avoid a smaller fraction of slow
// replicas.
const criticalReplicasDivisor = 4

// CompletionCritical reports whether the choice of replicas and the order of items decide if a
// job meets its completion objective: the longest text takes longer than the objective at
// 1/criticalReplicasDivisor of the replicas with a known usual interval or more. It
// is false if those replicas are as fast as the others, so that there is no choice, if fewer than
// minKnownPaces intervals are known, or if the longest text or the objective is unknown (0).
func (p Paces) CompletionCritical(longestEvents int, objective time.Duration) bool {
	if p.slowQuarter == 0 || objective <= 0 || float64(p.slowQuarter) < speedClassRatio*float64(p.fastQuarter) {
		return false
	}
	return time.Duration(longestEvents)*p.slowQuarter > objective
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
