package timeline

import (
	"io"
	"math"
	"slices"

	"github.com/ansel1/merry/v2"
)

// ErrNoSteps means that the log contains no start of a batch job.
var ErrNoSteps = merry.Sentinel("the log tells of no batch job")

// Timeline holds the steps found in the logs of a deployment.
type Timeline struct {
	Steps []*Step `json:"steps"`
	// FastestPace is the time between events of the fastest runs, in seconds.
	FastestPace float64 `json:"fastestPace"`
}

// reader collects the records of all steps.
type reader struct {
	steps  map[string]*Step
	named  []record
	loaded []record
}

// Read reads the log lines of all nodes from a stream, in any order. It returns ErrNoSteps or
// the error of the stream.
func Read(source io.Reader) (*Timeline, error) {
	records, err := readRecords(source)
	if err != nil {
		return nil, err
	}
	slices.SortStableFunc(records, func(a, b record) int {
		switch {
		case a.at < b.at:
			return -1
		case a.at > b.at:
			return 1
		}
		return 0
	})
	collected := &reader{steps: map[string]*Step{}}
	for _, read := range records {
		collected.add(read)
	}
	if len(collected.steps) == 0 {
		return nil, ErrNoSteps
	}
	return collected.timeline(), nil
}

// add adds one record. Records must be added in the order of time.
func (r *reader) add(read record) {
	switch read.Message {
	case messageStarted:
		r.start(read)
	case messageNamed:
		r.named = append(r.named, read)
	case messageLoaded:
		r.loaded = append(r.loaded, read)
	case messageTakenOver:
		if step := r.steps[read.Request]; step != nil {
			step.Takeovers++
		}
	case messageLate:
		if step := r.steps[read.Request]; step != nil {
			step.Late = read.Reason
		}
	case messageEnded:
		if step := r.steps[read.Request]; step != nil && step.end == 0 {
			step.end = read.at
		}
	case messageListed:
		if step := r.steps[read.Request]; step != nil {
			step.listed = append(step.listed, listing{at: read.at, results: read.Results})
		}
	case messageFinished:
		if step := r.steps[read.Job]; step != nil {
			step.finished = append(step.finished, read)
		}
	case messageRunEnded:
		if step := r.steps[read.Job]; step != nil {
			step.endedEarly = append(step.endedEarly, read)
		}
	}
}

// start records that a node starts to run a job.
func (r *reader) start(read record) {
	step := r.steps[read.Request]
	if step == nil {
		step = &Step{
			Job: read.Request, Number: read.Step, Model: read.Model, MinVersion: read.MinVersion, Items: read.Items, Desired: read.Desired, Accepted: read.at,
		}
		r.steps[read.Request] = step
	}
	step.owners = append(step.owners, read.at)
}

// timeline evaluates all steps and returns them in the order of acceptance.
func (r *reader) timeline() *Timeline {
	result := &Timeline{}
	var finished []record
	for _, step := range r.steps {
		result.Steps = append(result.Steps, step)
		finished = append(finished, step.finished...)
	}
	slices.SortFunc(result.Steps, func(a, b *Step) int {
		if a.Accepted != b.Accepted {
			return int(math.Copysign(1, a.Accepted-b.Accepted))
		}
		return a.Number - b.Number
	})
	result.FastestPace = fastestPace(finished)
	seen := map[string]map[string]bool{}
	for _, step := range result.Steps {
		if seen[step.Model] == nil {
			seen[step.Model] = map[string]bool{}
		}
		r.evaluate(step, result.FastestPace, seen[step.Model])
	}
	return result
}
