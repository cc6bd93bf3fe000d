package placement

import "time"

// History is what happened to the item that its job waited for last.
type History struct {
	// Epoch is the number of owners that the job has had so far, from 1.
	Epoch int
	// Waited is the time from the job's start at this node to the item's first run.
	Waited time.Duration
	// Stalls is the number of its runs that were cut because they had stalled.
	Stalls int
	// Breaks is the number of its runs that ended early for a reason other than the item.
	Breaks int
	// Interval is the mean time between events of its last run, 0 if unknown.
	Interval time.Duration
}
