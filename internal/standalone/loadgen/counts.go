package loadgen

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	slowestMicros      = 600_000_000
	significantFigures = 3
)

// Counts are what callers have seen.
type Counts struct {
	Sent          int64 `json:"sent"`
	Answered      int64 `json:"answered"`
	RefusedNotRun int64 `json:"refused_not_run"`
	Unknown       int64 `json:"unknown"`
	Wrong         int64 `json:"wrong"`
	Truncated     int64 `json:"truncated"`
	// Unreachable requests found nobody listening.
	Unreachable int64 `json:"unreachable"`
}

// recorder gathers the counts of many workers.
type recorder struct {
	mutex     sync.Mutex
	counts    Counts
	histogram *hdrhistogram.Histogram
	notRun    []string
	unsafe    map[string]int
	codes     map[string]int64
}

func newRecorder() *recorder {
	return &recorder{
		histogram: hdrhistogram.New(1, slowestMicros, significantFigures),
		unsafe:    map[string]int{},
		codes:     map[string]int64{},
	}
}

func (r *recorder) sent(request Request) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.counts.Sent++
	if request.Key != "" {
		r.unsafe[request.Prompt]++
	}
}

func (r *recorder) ended(request Request, verdict Verdict, elapsed time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if verdict.Code != "" {
		r.codes[verdict.Code]++
	}
	switch verdict.Kind {
	case Answered:
		r.counts.Answered++
		_ = r.histogram.RecordValue(elapsed.Microseconds())
	case RefusedNotRun:
		r.counts.RefusedNotRun++
		if request.Key == "" {
			r.notRun = append(r.notRun, request.Prompt)
		}
	case Unknown:
		r.counts.Unknown++
	case Wrong:
		r.counts.Wrong++
	case Truncated:
		r.counts.Truncated++
	case Unreachable:
		r.counts.Unreachable++
	}
}
