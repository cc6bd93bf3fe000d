package placement

import "time"

const (
	// criticalFraction is the fraction of a completion objective above which the run time of
	// the longest text is critical. The other tenth of the objective is spent on accepting
	// the job, reading prompts and listing results.
	criticalFraction = 0.9
	// criticalReplicasDivisor sets the fraction, 1/criticalReplicasDivisor, of the known
	// replicas at which the longest text has to be critical. Texts can avoid a smaller
	// fraction of slow replicas.
	criticalReplicasDivisor = 4
)

// CompletionCritical reports whether the choice of replicas and the order of items decide
// if a job meets its completion objective: the longest text takes more than
// criticalFraction of the objective at 1/criticalReplicasDivisor of the replicas with a
// known interval or more. It is false if fewer than minKnownPaces intervals are known, or
// if the longest text or the objective is unknown (0).
func (p Paces) CompletionCritical(longestEvents int, objective time.Duration) bool {
	if longestEvents <= 0 || objective <= 0 {
		return false
	}
	known, critical := 0, 0
	for _, interval := range p.intervals {
		if interval <= 0 {
			continue
		}
		known++
		if float64(longestEvents)*float64(interval) > criticalFraction*float64(objective) {
			critical++
		}
	}
	return known >= minKnownPaces && critical*criticalReplicasDivisor >= known
}
