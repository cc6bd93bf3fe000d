package weightorders

import (
	"maps"
	"slices"
	"time"

	"github.com/pathtally/pathtally/internal/replicas/directory"
	"github.com/pathtally/pathtally/internal/wire"
)

// maxAnnounced is the maximum number of finished changes in a heartbeat.
const maxAnnounced = 24

// ObserveVersion applies a replica's version that another node has sent.
func (c *Coordinator) ObserveVersion(change wire.ReplicaVersion) {
	if !change.Loading {
		c.recordVersion(change.Replica, change.Model, change.Version)
	}
}

// AnnouncedVersions returns the finished and running changes of replicas' versions that this
// node's heartbeats contain.
func (c *Coordinator) AnnouncedVersions() []wire.ReplicaVersion {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	changes := slices.Clone(c.announced)
	for _, change := range c.loading {
		changes = append(changes, change)
	}
	return changes
}

// addAnnounced adds a finished change to the next heartbeats.
func (c *Coordinator) addAnnounced(change wire.ReplicaVersion) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.announced = slices.DeleteFunc(c.announced, func(older wire.ReplicaVersion) bool {
		return older.Replica == change.Replica && older.Model == change.Model
	})
	c.announced = append(c.announced, change)
	if len(c.announced) > maxAnnounced {
		c.announced = c.announced[len(c.announced)-maxAnnounced:]
	}
}

// recordVersion records that a replica has loaded a version.
func (c *Coordinator) recordVersion(replica, model string, version int64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.versions[replica] == nil {
		c.versions[replica] = map[string]int64{}
	}
	c.versions[replica][model] = max(c.versions[replica][model], version)
}

// knownVersion returns the newest version of a model that a replica is known to have loaded.
func (c *Coordinator) knownVersion(replica, model string) int64 {
	newest := int64(0)
	if listed := c.config.Directory.View().Replicas[replica]; listed != nil {
		newest = listed.Versions[model]
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return max(newest, c.versions[replica][model])
}

// pruneReplicas drops the state of replicas that are no longer listed in the directory.
func (c *Coordinator) pruneReplicas(listed map[string]*directory.Replica) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	maps.DeleteFunc(c.versions, func(id string, _ map[string]int64) bool { return listed[id] == nil })
	maps.DeleteFunc(c.retryAt, func(id string, _ time.Time) bool { return listed[id] == nil })
}

// isBlocked reports whether a task must not start now, because its replica is loading or in
// backoff after a failed load.
func (c *Coordinator) isBlocked(pending task) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	_, loading := c.loading[pending.target.ID]
	return loading || time.Now().Before(c.retryAt[pending.target.ID])
}
