package timeline

import (
	"math"
	"slices"
	"strings"
)

// evaluate computes the fields of a step from its records. seen are the groups of the earlier
// steps of its model; evaluate adds those of this step.
func (r *reader) evaluate(step *Step, pace float64, seen map[string]bool) {
	if step.end > 0 {
		step.Ended = step.end - step.Accepted
	}
	step.fillListed()
	step.fillRuns()
	step.fillDesiredWhole()
	r.fillVersion(step)
	step.Bound = step.bound(pace, seen)
	step.Last = step.straggler(pace)
	for _, run := range slices.Concat(step.finished, step.endedEarly) {
		seen[run.Group] = true
	}
}

// fillListed sets the times at which 50, 90, 95 and 100 % of the items were listed.
func (s *Step) fillListed() {
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

// fillRuns sets the times of the first run and the first event, and counts moves and reruns.
func (s *Step) fillRuns() {
	firstRun, firstEvent := math.Inf(1), math.Inf(1)
	runs := map[string]int{}
	for _, run := range slices.Concat(s.finished, s.endedEarly) {
		runs[run.Request]++
		firstRun = math.Min(firstRun, run.start())
		if run.Events > 0 {
			firstEvent = math.Min(firstEvent, run.start()+seconds(run.FirstMs))
		}
	}
	for _, run := range s.endedEarly {
		if strings.HasPrefix(run.Error, errorMoved) {
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

// fillDesiredWhole sets the time at which the desired number of groups was complete.
func (s *Step) fillDesiredWhole() {
	last, sizes := map[string]float64{}, map[string]int{}
	for _, run := range s.finished {
		last[run.Group] = max(last[run.Group], run.at)
		sizes[run.Group]++
	}
	size := 0
	for _, count := range sizes {
		size = max(size, count)
	}
	var completed []float64
	for group, at := range last {
		if sizes[group] >= size {
			completed = append(completed, at)
		}
	}
	slices.Sort(completed)
	if s.Desired > 0 && len(completed) >= s.Desired {
		s.DesiredWhole = completed[s.Desired-1] - s.Accepted
	}
}

// fillVersion sets the times at which the weight version that follows the step was named and
// loaded.
func (r *reader) fillVersion(step *Step) {
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
