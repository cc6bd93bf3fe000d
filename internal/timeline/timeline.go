package timeline

import (
	"io"
	"math"
	"slices"
	"strings"

	"github.com/ansel1/merry/v2"
)

// ErrNoSteps means that a log tells of no batch job.
var ErrNoSteps = merry.Sentinel("the log tells of no batch job")

// Timeline is what the logs of a deployment tell of its steps.
type Timeline struct {
	Steps []*Step `json:"steps"`
	// FastestPace is the time between events of the fastest runs, in seconds.
	FastestPace float64 `json:"fastestPace"`
}

// reader collects what records tell.
type reader struct {
	steps  map[string]*Step
	named  []record
	loaded []record
}

// Read reads the log lines of all nodes from a stream.
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
		collected.take(read)
	}
	if len(collected.steps) == 0 {
		return nil, ErrNoSteps
	}
	return collected.timeline(), nil
}

// take takes one record in the order of time.
func (r *reader) take(read record) {
	switch read.Message {
	case messageTakenUp:
		r.takeUp(read)
	case messageNamed:
		r.named = append(r.named, read)
	case messageLoaded:
		r.loaded = append(r.loaded, read)
	case messageTaken:
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

// takeUp takes that a node runs a job from now on.
func (r *reader) takeUp(read record) {
	step := r.steps[read.Request]
	if step == nil {
		step = &Step{
			Job: read.Request, Number: read.Step, Model: read.Model, MinVersion: read.MinVersion, Items: read.Items, Desired: read.Desired, Accepted: read.at,
		}
		r.steps[read.Request] = step
	}
	step.owners = append(step.owners, read.at)
}

// timeline works out all steps, in the order of their acceptance.
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
		r.workOut(step, made.FastestPace, seen[step.Model])
	}
	return made
}

// workOut fills in a step; seen are the groups of its model's earlier steps.
func (r *reader) workOut(step *Step, pace float64, seen map[string]bool) {
	if step.end > 0 {
		step.Ended = step.end - step.Accepted
	}
	step.noteListed()
	step.noteRuns()
	step.noteWhole()
	r.noteVersion(step)
	step.Bound = step.bound(pace, seen)
	step.Last = step.holdup(pace)
	for _, run := range slices.Concat(step.finished, step.early) {
		seen[run.Group] = true
	}
}

// noteListed fills in by when which part of the items was listed.
func (s *Step) noteListed() {
	count := 0
	for _, list := range s.listed {
		count += list.results
		at := list.at - s.Accepted
		for _, part := range []struct {
			share float64
			when  *float64
		}{{0.5, &s.Listed50}, {0.9, &s.Listed90}, {0.95, &s.Listed95}, {1, &s.Listed100}} {
			if *part.when == 0 && float64(count) >= part.share*float64(s.Items) {
				*part.when = at
			}
		}
	}
}

// noteRuns fills in when runs began and how many there were.
func (s *Step) noteRuns() {
	firstRun, firstEvent := math.Inf(1), math.Inf(1)
	runs := map[string]int{}
	for _, run := range slices.Concat(s.finished, s.early) {
		runs[run.Request]++
		firstRun = math.Min(firstRun, run.began())
		if run.Events > 0 {
			firstEvent = math.Min(firstEvent, run.began()+seconds(run.FirstMs))
		}
	}
	for _, run := range s.early {
		if strings.HasPrefix(run.Error, moved) {
			s.Moves++
		}
	}
	for _, count := range runs {
		if count > 1 {
			s.RunAgain++
		}
	}
	if !math.IsInf(firstRun, 1) {
		s.FirstRun = firstRun - s.Accepted
	}
	if !math.IsInf(firstEvent, 1) {
		s.FirstEvent = firstEvent - s.Accepted
	}
}

// noteWhole fills in when as many groups as desired were whole.
func (s *Step) noteWhole() {
	last, sizes := map[string]float64{}, map[string]int{}
	for _, run := range s.finished {
		last[run.Group] = max(last[run.Group], run.at)
		sizes[run.Group]++
	}
	size := 0
	for _, count := range sizes {
		size = max(size, count)
	}
	var whole []float64
	for group, at := range last {
		if sizes[group] >= size {
			whole = append(whole, at)
		}
	}
	slices.Sort(whole)
	if s.Desired > 0 && len(whole) >= s.Desired {
		s.DesiredWhole = whole[s.Desired-1] - s.Accepted
	}
}

// noteVersion fills in when the version after the step was named and loaded.
func (r *reader) noteVersion(step *Step) {
	if step.end == 0 {
		return
	}
	version := int64(0)
	for _, named := range r.named {
		if named.Model == step.Model && named.at >= step.end {
			version, step.VersionNamed = named.Version, named.at-step.Accepted
			break
		}
	}
	for _, loaded := range r.loaded {
		if loaded.Model == step.Model && loaded.Version == version && version > 0 {
			at := loaded.at - step.Accepted
			if step.FirstLoaded == 0 {
				step.FirstLoaded = at
			}
			step.AllLoaded = at
		}
	}
}
