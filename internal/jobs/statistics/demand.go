package statistics

import (
	"maps"
	"time"

	"github.com/pathtally/pathtally/internal/duties/weightorders"
	"github.com/pathtally/pathtally/internal/wire"
)

// demandRetention is how long a batch job counts towards the demand for its model. It covers
// several steps of a trainer, so that one late step changes little.
const demandRetention = 30 * time.Second

// Demand records the work of recent batch jobs of all nodes.
type Demand struct {
	byJob map[string]jobWork
}

// jobWork is the expected work of a batch job.
type jobWork struct {
	model  string
	tokens float64
	// items is the number of the job's items, 0 for unknown.
	items      int
	recordedAt time.Time
}

// NewDemand returns a Demand without jobs.
func NewDemand() *Demand { return &Demand{byJob: map[string]jobWork{}} }

// Learn records the work of a batch job. The retention counts from the first call for a job.
func (d *Demand) Learn(work wire.JobWork, now time.Time) {
	if _, known := d.byJob[work.Job]; known || work.Model == "" {
		return
	}
	d.byJob[work.Job] = jobWork{model: work.Model, tokens: float64(work.ExpectedTokens), items: int(work.Items), recordedAt: now}
}

// Mean returns, by model, the mean work of the recent jobs in expected tokens, the number of
// items of the largest of them, and the mean expected tokens of their items.
func (d *Demand) Mean() weightorders.Demand {
	mean := weightorders.Demand{MeanTokens: map[string]float64{}, MaxItems: map[string]int{}, ItemTokens: map[string]float64{}}
	items := map[string]int{}
	jobs := map[string]float64{}
	for _, work := range d.byJob {
		mean.MeanTokens[work.model] += work.tokens
		mean.MaxItems[work.model] = max(mean.MaxItems[work.model], work.items)
		if work.items > 0 && work.tokens > 0 {
			mean.ItemTokens[work.model] += work.tokens
			items[work.model] += work.items
		}
		jobs[work.model]++
	}
	for model, count := range items {
		mean.ItemTokens[model] /= float64(count)
	}
	for model, count := range jobs {
		mean.MeanTokens[model] /= count
	}
	return mean
}

// Evict removes the jobs whose retention has expired.
func (d *Demand) Evict(now time.Time) {
	maps.DeleteFunc(d.byJob, func(_ string, work jobWork) bool { return now.Sub(work.recordedAt) > demandRetention })
}

// Len returns the number of recorded jobs.
func (d *Demand) Len() int { return len(d.byJob) }
