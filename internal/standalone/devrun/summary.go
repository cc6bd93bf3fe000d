package devrun

import (
	"fmt"

	"github.com/pathtally/pathtally/internal/standalone/loadgen"
)

// Summary is the last line that the development command prints.
type Summary struct {
	Requests           RequestSummary   `json:"requests"`
	Unsafe             UnsafeSummary    `json:"unsafe"`
	Samples            SampleSummary    `json:"samples"`
	Steps              int              `json:"steps"`
	WeightVersions     int64            `json:"weight_versions"`
	TrainerIdlePercent float64          `json:"trainer_idle_percent"`
	Staleness          StalenessSummary `json:"staleness"`
	Config             ConfigSummary    `json:"config"`
	// NotRunButRan counts safe requests of which a node said that they were
	// not run although an engine ran them.
	NotRunButRan int              `json:"not_run_but_ran"`
	Codes        map[string]int64 `json:"codes"`
}

// RequestSummary is what callers saw.
type RequestSummary struct {
	loadgen.Counts
	P50 float64 `json:"p50_ms"`
	P99 float64 `json:"p99_ms"`
}

// UnsafeSummary is what engines ran of the requests unsafe to repeat.
type UnsafeSummary struct {
	Sent     int `json:"sent"`
	Run      int `json:"run"`
	RunTwice int `json:"run_twice"`
}

// SampleSummary is what trainers saw.
type SampleSummary struct {
	Delivered   int `json:"delivered"`
	Duplicate   int `json:"duplicate"`
	Lost        int `json:"lost"`
	Stale       int `json:"stale"`
	Unversioned int `json:"unversioned"`
	Wrong       int `json:"wrong"`
}

// StalenessSummary is in weight versions.
type StalenessSummary struct {
	P50   int64 `json:"p50"`
	P99   int64 `json:"p99"`
	Max   int64 `json:"max"`
	Bound int64 `json:"bound"`
}

// ConfigSummary is about configuration generations.
type ConfigSummary struct {
	Generations    uint64  `json:"generations"`
	SlowestSeconds float64 `json:"slowest_seconds"`
	WentBack       int     `json:"went_back"`
}

// minVersions is how many weight versions a run must have gone through.
const minVersions = 3

// slowestConfig is the longest that a generation may take to be in force.
const slowestConfig = 5.0

// Broken names the promises that the run broke.
func (s *Summary) Broken() []string {
	var broken []string
	check := func(count int, promise string) {
		if count > 0 {
			broken = append(broken, fmt.Sprintf("%s: %d", promise, count))
		}
	}
	check(int(s.Requests.Wrong), "wrong answers")
	check(int(s.Requests.Truncated), "truncated answers")
	check(s.Unsafe.RunTwice, "unsafe requests run twice")
	check(s.NotRunButRan, "requests said to be not run that ran")
	check(s.Samples.Duplicate, "duplicate samples")
	check(s.Samples.Lost, "lost samples")
	check(s.Samples.Stale, "samples older than the bound")
	check(s.Samples.Unversioned, "samples without their versions")
	check(s.Samples.Wrong, "wrong samples")
	check(s.Config.WentBack, "configurations that went back")
	if s.Requests.Answered == 0 {
		broken = append(broken, "no request was answered")
	}
	if s.Steps == 0 || s.WeightVersions < minVersions {
		broken = append(broken, fmt.Sprintf("only %d steps and %d weight versions", s.Steps, s.WeightVersions))
	}
	if s.Config.SlowestSeconds > slowestConfig {
		broken = append(broken, fmt.Sprintf("a configuration took %.1f s to be in force", s.Config.SlowestSeconds))
	}
	return broken
}
