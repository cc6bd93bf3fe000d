package dutyapi

import (
	"time"
)

// Report is the first usage report of a window.
type Report struct {
	Window int64
	Holder string
	Token  uint64
	Counts map[string]uint64
	At     time.Time
}
