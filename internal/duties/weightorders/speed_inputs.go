package weightorders

import (
	"maps"
	"time"

	"github.com/pathtally/pathtally/internal/replicas/directory"
)

// speedSampleInterval is the minimum time between samples of the usual intervals. They
// change slowly, and reading them costs time in proportion to the number of replicas.
const speedSampleInterval = time.Second

// speedInputs holds the speeds of the replicas of each service. Only the goroutine of Run
// uses it. The zero value has no speeds.
type speedInputs struct {
	trackers  map[string]*speedTracker
	current   map[string]*speeds
	sampledAt time.Time
}

// sampleSpeeds updates the speeds of all services.
func (c *Coordinator) sampleSpeeds(view *directory.View, demand Demand, now time.Time) {
	if c.config.UsualIntervals == nil || view.Configuration == nil || (!c.speeds.sampledAt.IsZero() && now.Sub(c.speeds.sampledAt) < speedSampleInterval) {
		return
	}
	c.speeds.sampledAt = now
	intervals := c.config.UsualIntervals()
	if len(intervals) == 0 && len(c.speeds.trackers) == 0 {
		return
	}
	if c.speeds.trackers == nil {
		c.speeds.trackers, c.speeds.current = map[string]*speedTracker{}, map[string]*speeds{}
	}
	maps.DeleteFunc(c.speeds.trackers, func(name string, _ *speedTracker) bool { return view.Configuration.Services[name].Engine == nil })
	maps.DeleteFunc(c.speeds.current, func(name string, _ *speeds) bool { return view.Configuration.Services[name].Engine == nil })
	for name, service := range view.Configuration.Services {
		if service.Engine == nil {
			continue
		}
		listed := usableReplicas(view, name)
		if c.speeds.trackers[name] == nil {
			c.speeds.trackers[name] = newSpeedTracker()
		}
		updated := c.speeds.trackers[name].update(listed, intervals, lengthsOf(service.Engine.Models, demand), now)
		if (updated == nil) != (c.speeds.current[name] == nil) {
			c.config.Logger.Info("use of replica speeds for weights changed", "service", name, "used", updated != nil,
				"replicas", len(listed), "knownSpeeds", len(c.speeds.trackers[name].replicas.held), "fastReplicas", updated.countFast(listed))
		}
		c.speeds.current[name] = updated
	}
}

// usableReplicas returns the replicas of a service outside evacuated zones.
func usableReplicas(view *directory.View, service string) map[string]bool {
	usable := map[string]bool{}
	for _, replica := range view.Replicas {
		if replica.Service == service && !view.IsEvacuated(replica.Zone) {
			usable[replica.ID] = true
		}
	}
	return usable
}

// lengthsOf returns the known mean lengths of the items of some models, in tokens.
func lengthsOf(models []string, demand Demand) map[string]float64 {
	lengths := map[string]float64{}
	for _, model := range models {
		if tokens := demand.ItemTokens[model]; tokens > 0 {
			lengths[model] = tokens
		}
	}
	return lengths
}

// countFast returns the number of fast replicas among those listed.
func (s *speeds) countFast(listed map[string]bool) int {
	count := 0
	for replica := range listed {
		if s.isFast(replica) {
			count++
		}
	}
	return count
}

// waitingItems returns the number of items that wait for a replica, by model, nil if the
// speeds of no service's replicas count.
func (c *Coordinator) waitingItems() map[string]int {
	if c.config.Waiting == nil {
		return nil
	}
	for _, current := range c.speeds.current {
		if current != nil {
			return c.config.Waiting()
		}
	}
	return nil
}

// fastLoads returns how many of a model's fast homes are loading it.
func (c *Coordinator) fastLoads(model string, known *speeds) int {
	if known == nil {
		return 0
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	count := 0
	for replica, change := range c.loading {
		if change.Model == model && known.isFast(replica) {
			count++
		}
	}
	return count
}
