package trainer

import (
	"slices"
	"time"
)

// Counts are what a trainer has seen.
type Counts struct {
	Steps       int   `json:"steps"`
	Delivered   int   `json:"delivered"`
	Duplicate   int   `json:"duplicate"`
	Lost        int   `json:"lost"`
	Stale       int   `json:"stale"`
	Unversioned int   `json:"unversioned"`
	Wrong       int   `json:"wrong"`
	Versions    int64 `json:"versions"`

	Idle      time.Duration `json:"idle"`
	Training  time.Duration `json:"training"`
	Staleness []int64       `json:"-"`
}

// IdlePercent is the share of time in which the trainer waited for samples.
func (c *Counts) IdlePercent() float64 {
	total := c.Idle + c.Training
	if total == 0 {
		return 0
	}
	return 100 * float64(c.Idle) / float64(total)
}

// Percentile returns a quantile, from 0 to 1, of the staleness of all samples.
func (c *Counts) Percentile(quantile float64) int64 {
	if len(c.Staleness) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(c.Staleness))
	return sorted[min(len(sorted)-1, int(quantile*float64(len(sorted))))]
}
