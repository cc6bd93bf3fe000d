package weightorders

import (
	"maps"
	"slices"
	"time"
)

const (
	// minSpeedRatio is the ratio of the usual intervals of the slowest and the fastest quarter
	// of the known replicas from which speeds count. Below it, a replica that is a home of
	// another model costs more loads than its speed gains.
	minSpeedRatio = 1.2
	// keptSpeedRatio is the ratio below which speeds no longer count, so that a ratio near
	// minSpeedRatio does not move homes repeatedly.
	keptSpeedRatio = 1.1
	// minKnownSpeeds is the number of known intervals required to compare quarters.
	minKnownSpeeds = 8
	// knownFraction is the fraction of a service's replicas whose interval must be known.
	knownFraction = 0.5
	// speedRetention is how long speeds count after too few intervals are known, such as
	// between two runs of a trainer, and how long the class of a replica that is no longer
	// listed is kept, such as during an outage of the store. The speed of a replica is mostly
	// that of its machine.
	speedRetention = 5 * time.Minute
	// lengthRatio is the ratio of the mean lengths of two models' texts from which one counts
	// as longer. The means of two models with equal texts differ by up to 1.3 if each is of
	// one job of 64 items.
	lengthRatio = 1.5
)

// speeds are the relative speeds of a service's replicas and the relative lengths of its
// models' texts. A nil *speeds means that all replicas are treated alike.
type speeds struct {
	// classes are the known speed classes by replica, smaller ones faster.
	classes map[string]int
	// middle is the class of a replica whose speed is unknown.
	middle int
	// slowFrom is twice the class from which a replica is not fast.
	slowFrom int
	// lengths are the length classes by model, larger ones longer. A model without an entry
	// has class 0.
	lengths map[string]int
}

// newSpeeds returns the speeds for the classes of replicas and models.
func newSpeeds(classes, lengths map[string]int) *speeds {
	sorted := slices.Sorted(maps.Values(classes))
	if len(sorted) == 0 {
		return nil
	}
	quarter := max(1, len(sorted)/4)
	return &speeds{
		classes: classes, lengths: lengths, middle: sorted[(len(sorted)-1)/2],
		slowFrom: sorted[quarter-1] + sorted[len(sorted)-quarter],
	}
}

// classOf returns the speed class of a replica.
func (s *speeds) classOf(replica string) int {
	if class, known := s.classes[replica]; known {
		return class
	}
	return s.middle
}

// isFast reports whether the class of a replica is closer to that of the fastest quarter than
// to that of the slowest.
func (s *speeds) isFast(replica string) bool { return s != nil && 2*s.classOf(replica) < s.slowFrom }

// equal reports whether both give the same plan.
func (s *speeds) equal(other *speeds) bool {
	if s == nil || other == nil {
		return s == other
	}
	return maps.Equal(s.classes, other.classes) && maps.Equal(s.lengths, other.lengths)
}

// speedTracker decides whether the speeds of a service's replicas count, and which class each
// replica and model has.
type speedTracker struct {
	replicas, models classTracker
	// listedAt is when each replica was listed last.
	listedAt map[string]time.Time
	applies  bool
	// differsSince is since when the intervals call for the opposite of applies; zero if they
	// do not.
	differsSince time.Time
	// comparedAt is when enough intervals were known last.
	comparedAt time.Time
}

func newSpeedTracker() *speedTracker {
	return &speedTracker{replicas: newClassTracker(minSpeedRatio), models: newClassTracker(lengthRatio), listedAt: map[string]time.Time{}}
}

// update records the usual intervals of a service's listed replicas and the mean lengths of
// its models' texts, and returns the speeds that count, nil if none do.
func (t *speedTracker) update(listed map[string]bool, intervals map[string]time.Duration, lengths map[string]float64, now time.Time) *speeds {
	known := map[string]float64{}
	for replica, interval := range intervals {
		if listed[replica] && interval > 0 {
			known[replica] = float64(interval)
		}
	}
	for replica := range listed {
		t.listedAt[replica] = now
	}
	maps.DeleteFunc(t.listedAt, func(_ string, at time.Time) bool { return now.Sub(at) >= speedRetention })
	t.replicas.retain(func(replica string) bool { return !t.listedAt[replica].IsZero() })
	if fastest, slowest := quartiles(known); len(known) >= minKnownSpeeds && float64(len(known)) >= knownFraction*float64(len(listed)) {
		t.comparedAt = now
		t.replicas.update(known, fastest, now)
		t.models.update(lengths, medianOf(lengths), now)
		t.updateApplies(slowest/fastest, now)
	} else {
		t.differsSince = time.Time{}
		t.applies = t.applies && now.Sub(t.comparedAt) < speedRetention
	}
	if !t.applies {
		return nil
	}
	classes := maps.Clone(t.replicas.held)
	maps.DeleteFunc(classes, func(replica string, _ int) bool { return !listed[replica] })
	return newSpeeds(classes, maps.Clone(t.models.held))
}

// updateApplies records the ratio of the slowest to the fastest quarter.
func (t *speedTracker) updateApplies(ratio float64, now time.Time) {
	differs := ratio >= minSpeedRatio || (t.applies && ratio >= keptSpeedRatio)
	switch {
	case differs == t.applies:
		t.differsSince = time.Time{}
	case t.differsSince.IsZero():
		t.differsSince = now
	case now.Sub(t.differsSince) >= changeDuration:
		t.applies, t.differsSince = differs, time.Time{}
	}
}

// quartiles returns the largest value of the smallest quarter and the smallest value of the
// largest quarter, 0 without values. Single outliers do not change them.
func quartiles(values map[string]float64) (lower, upper float64) {
	if len(values) == 0 {
		return 0, 0
	}
	sorted := slices.Sorted(maps.Values(values))
	quarter := max(1, len(sorted)/4)
	return sorted[quarter-1], sorted[len(sorted)-quarter]
}

// medianOf returns the lower median of values, 0 without values.
func medianOf(values map[string]float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(maps.Values(values))
	return sorted[(len(sorted)-1)/2]
}
