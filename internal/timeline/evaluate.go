package timeline

import (
	"math"
	"slices"
	"strings"
)

// evaluate fills in a step; seen are the groups of its model's earlier steps.
func (r *reader) evaluate(step *Step, pace float64, seen map[string]bool) {
	if step.end > 0 {
		step.Ended = step.end - step.Accepted
	}
	step.fillListed()
	step.fillRuns()
	step.fillWhole()
	r.fillVersion(step)
	step.Bound = step.bound(pace, seen)
	step.Last = step.holdup(pace)
	for _, run := range slices.Concat(step.finished, step.early) {
		seen[run.Group] = true
	}
}

// fillListed fills in by when which part of the items was listed.
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

// fillRuns fills in when runs began and how many there were.
func (s *Step) fillRuns() {
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

// fillWhole fills in when as many groups as desired were whole.
func (s *Step) fillWhole() {
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

// fillVersion fills in when the version after the step was named and loaded.
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
