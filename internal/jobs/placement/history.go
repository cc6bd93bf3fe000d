package placement

import "time"

// History describes the runs of the item that completed its job last.
type History struct {
	// Epoch is the number of owners that the job has had, starting at 1.
	Epoch int
	// Waited is the time from the start of the job on this node to the item's first run.
	Waited time.Duration
	// Stalls is the number of runs that were canceled because they stalled.
	Stalls int
	// BrokenRuns is the number of runs that ended early for a reason unrelated to the item.
	BrokenRuns int
	// Interval is the mean time between events of the last run, 0 if unknown.
	Interval time.Duration
}
