package dutyapi

import (
	"time"
)

// Report is a window's usage as it was first reported.
type Report struct {
	Window int64
	Holder string
	Token  uint64
	Counts map[string]uint64
	At     time.Time
}
