package statistics

import (
	"maps"
	"time"

	"github.com/pathtally/pathtally/internal/duties/weightorders"
	"github.com/pathtally/pathtally/internal/wire"
)

// demandRetention is how long a batch job counts towards the demand for its model: some
// steps of a trainer, so that one late step changes little.
const demandRetention = 30 * time.Second

// Demand is the work of recent batch jobs, of this and other nodes, by job id.
type Demand struct {
	byJob map[string]jobWork
}

// jobWork is what a batch job was expected to make.
type jobWork struct {
	model  string
	tokens float64
	// items is the number of the job's items, 0 for unknown.
	items    int
	learntAt time.Time
}

// NewDemand returns the demand of no job.
func NewDemand() *Demand { return &Demand{byJob: map[string]jobWork{}} }

// Learn records a batch job's work. A job counts from when it is learnt first.
func (d *Demand) Learn(work wire.JobWork, now time.Time) {
	if _, known := d.byJob[work.Job]; known || work.Model == "" {
		return
	}
	d.byJob[work.Job] = jobWork{model: work.Model, tokens: float64(work.ExpectedTokens), items: int(work.Items), learntAt: now}
}

// Mean is, by model, the mean work of the recent jobs in expected tokens, and the number
// of items of the largest of them.
func (d *Demand) Mean() weightorders.Demand {
	mean := weightorders.Demand{Tokens: map[string]float64{}, Items: map[string]int{}}
	jobs := map[string]float64{}
	for _, work := range d.byJob {
		mean.Tokens[work.model] += work.tokens
		mean.Items[work.model] = max(mean.Items[work.model], work.items)
		jobs[work.model]++
	}
	for model, count := range jobs {
		mean.Tokens[model] /= count
	}
	return mean
}

// Evict forgets old jobs.
func (d *Demand) Evict(now time.Time) {
	maps.DeleteFunc(d.byJob, func(_ string, work jobWork) bool { return now.Sub(work.learntAt) > demandRetention })
}

// Len is the number of jobs that count.
func (d *Demand) Len() int { return len(d.byJob) }
