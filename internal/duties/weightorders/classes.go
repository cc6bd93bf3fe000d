package weightorders

import (
	"maps"
	"math"
	"time"
)

const (
	// changeDuration is how long a change must last before it counts: three steps of a trainer
	// that requests one every 4 s. A change of a home costs a load.
	changeDuration = 12 * time.Second
	// classMargin is the distance from the middle of a class, in classes, up to which a value
	// stays in it. It exceeds 0.5 so that a value near a border keeps its class.
	classMargin = 0.75
)

// classTracker divides positive values into classes of a geometric series, with hysteresis.
type classTracker struct {
	// ratio is the ratio of the values in the middle of two adjacent classes.
	ratio float64
	// held are the classes by key; class 0 is that of the reference value.
	held map[string]int
	// leftAt is when a value was first observed outside the class that is held for it.
	leftAt map[string]time.Time
}

func newClassTracker(ratio float64) classTracker {
	return classTracker{ratio: ratio, held: map[string]int{}, leftAt: map[string]time.Time{}}
}

// update records the current values. A key gets a new class once its value has been outside
// the held class for changeDuration. A key without a value keeps its class.
func (t *classTracker) update(values map[string]float64, reference float64, now time.Time) {
	maps.DeleteFunc(t.leftAt, func(key string, _ time.Time) bool { return values[key] <= 0 })
	for key, value := range values {
		if value <= 0 || reference <= 0 {
			continue
		}
		position := math.Log(value/reference) / math.Log(t.ratio)
		if held, known := t.held[key]; known && math.Abs(position-float64(held)) <= classMargin {
			delete(t.leftAt, key)
			continue
		}
		leftAt, leaving := t.leftAt[key]
		if !leaving {
			t.leftAt[key] = now
		} else if now.Sub(leftAt) >= changeDuration {
			t.held[key] = int(math.Round(position))
			delete(t.leftAt, key)
		}
	}
}

// retain drops the other keys.
func (t *classTracker) retain(isRetained func(key string) bool) {
	maps.DeleteFunc(t.held, func(key string, _ int) bool { return !isRetained(key) })
	maps.DeleteFunc(t.leftAt, func(key string, _ time.Time) bool { return !isRetained(key) })
}
