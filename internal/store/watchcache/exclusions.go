package watchcache

import (
	"maps"
	"slices"
	"sync"
	"time"
)

const (
	// silentExclusion is how long a node that did not reply is excluded. It doubles with
	// each consecutive failure up to maxSilentExclusion: a machine that is lost for good
	// stays in the list of nodes, and each attempt to follow it delays updates.
	silentExclusion    = 8 * time.Second
	maxSilentExclusion = 64 * time.Second
	// unsureExclusion is how long a node to which the store is unavailable is excluded.
	unsureExclusion = 4 * time.Second
	// leavingExclusion is how long a node that is stopping is excluded.
	leavingExclusion = 15 * time.Second
)

// exclusions holds the nodes and areas that are temporarily not followed. It is safe for
// concurrent use.
type exclusions struct {
	mutex sync.Mutex
	// nodeUntil and areaUntil hold the end of the exclusion by node and by area.
	nodeUntil map[string]time.Time
	areaUntil map[areaKind]time.Time
	// silentFor holds the duration of the last exclusion of each node that has not replied
	// since.
	silentFor map[string]time.Duration
}

func newExclusions() *exclusions {
	return &exclusions{
		nodeUntil: map[string]time.Time{},
		areaUntil: map[areaKind]time.Time{},
		silentFor: map[string]time.Duration{},
	}
}

// exclude excludes a node for the given time.
func (e *exclusions) exclude(node string, duration time.Duration) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.nodeUntil[node] = time.Now().Add(duration)
}

// excludeSilent excludes a node that did not reply, longer after each consecutive failure.
func (e *exclusions) excludeSilent(node string) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	duration := min(max(silentExclusion, 2*e.silentFor[node]), maxSilentExclusion)
	e.silentFor[node] = duration
	e.nodeUntil[node] = time.Now().Add(duration)
}

// wasSilent reports whether a node was excluded as silent and has not replied since.
func (e *exclusions) wasSilent(node string) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	_, silent := e.silentFor[node]
	return silent
}

// recordReply resets the backoff of a node that has replied.
func (e *exclusions) recordReply(node string) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	delete(e.silentFor, node)
}

// allowed returns the nodes that are not excluded.
func (e *exclusions) allowed(nodes []Node) []Node {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	now := time.Now()
	maps.DeleteFunc(e.nodeUntil, func(_ string, until time.Time) bool { return !now.Before(until) })
	return slices.DeleteFunc(slices.Clone(nodes), func(node Node) bool { return !e.nodeUntil[node.Name].IsZero() })
}

// excludeArea excludes the reader of an area for the given time.
func (e *exclusions) excludeArea(kind areaKind, duration time.Duration) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.areaUntil[kind] = time.Now().Add(duration)
}

// isAreaExcluded reports whether the reader of an area is excluded.
func (e *exclusions) isAreaExcluded(kind areaKind) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return time.Now().Before(e.areaUntil[kind])
}
