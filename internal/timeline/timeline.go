package timeline

import (
	"io"
	"math"
	"slices"

	"github.com/ansel1/merry/v2"
)

// ErrNoSteps means that a log has no line about the start of a batch job.
var ErrNoSteps = merry.Sentinel("the log tells of no batch job")

// Timeline is what the logs of a deployment say about its steps.
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

// Read reads the log lines of all nodes from a stream. Its error is ErrNoSteps, or
// that of the stream.
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

// add adds one record; records come in the order of time.
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
	case messageEarly:
		if step := r.steps[read.Job]; step != nil {
			step.early = append(step.early, read)
		}
	}
}

// start records that a node runs a job from now on.
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

// timeline evaluates all steps, in the order of their acceptance.
func (r *reader) timeline() *Timeline {
	made := &Timeline{}
	var finished []record
	for _, step := range r.steps {
		made.Steps = append(made.Steps, step)
		finished = append(finished, step.finished...)
	}
	slices.SortFunc(made.Steps, func(a, b *Step) int {
		if a.Accepted != b.Accepted {
			return int(math.Copysign(1, a.Accepted-b.Accepted))
		}
		return a.Number - b.Number
	})
	made.FastestPace = fastestPace(finished)
	seen := map[string]map[string]bool{}
	for _, step := range made.Steps {
		if seen[step.Model] == nil {
			seen[step.Model] = map[string]bool{}
		}
		r.evaluate(step, made.FastestPace, seen[step.Model])
	}
	return made
}
