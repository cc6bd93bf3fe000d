package weightorders

import (
	"maps"
	"slices"
	"time"

	"github.com/pathtally/pathtally/internal/replicas/directory"
	"github.com/pathtally/pathtally/internal/wire"
)

// ObserveVersion takes another node's word of a replica.
func (c *Coordinator) ObserveVersion(change wire.ReplicaVersion) {
	if !change.Loading {
		c.learn(change.Replica, change.Model, change.Version)
	}
}

// Versions returns what this node has to tell of replicas.
func (c *Coordinator) Versions() []wire.ReplicaVersion {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	told := slices.Clone(c.told)
	for _, change := range c.loading {
		told = append(told, change)
	}
	return told
}

// toldLength bounds how many changes heartbeats repeat.
const toldLength = 24

// tell keeps a change for the next heartbeats.
func (c *Coordinator) tell(change wire.ReplicaVersion) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.told = slices.DeleteFunc(c.told, func(older wire.ReplicaVersion) bool {
		return older.Replica == change.Replica && older.Model == change.Model
	})
	c.told = append(c.told, change)
	if len(c.told) > toldLength {
		c.told = c.told[len(c.told)-toldLength:]
	}
}

// learn records that a replica has a version.
func (c *Coordinator) learn(replica, model string, version int64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.versions[replica] == nil {
		c.versions[replica] = map[string]int64{}
	}
	c.versions[replica][model] = max(c.versions[replica][model], version)
}

// version is the newest version known of a replica's model.
func (c *Coordinator) version(replica, model string) int64 {
	known := int64(0)
	if listed := c.config.Directory.View().Replicas[replica]; listed != nil {
		known = listed.Versions[model]
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return max(known, c.versions[replica][model])
}

// forgetGone forgets the replicas that are no longer listed.
func (c *Coordinator) forgetGone(listed map[string]*directory.Replica) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	maps.DeleteFunc(c.versions, func(id string, _ map[string]int64) bool { return listed[id] == nil })
	maps.DeleteFunc(c.leftAlone, func(id string, _ time.Time) bool { return listed[id] == nil })
}

// isUnderWay tells whether a task needs no order now.
func (c *Coordinator) isUnderWay(next task) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	_, loading := c.loading[next.target.ID]
	return loading || time.Now().Before(c.leftAlone[next.target.ID])
}

// tolerance implements knowledge.
func (c *Coordinator) tolerance(model string) int64 { return c.config.Tolerance(model) }
