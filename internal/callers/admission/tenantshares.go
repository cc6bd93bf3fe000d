package admission

import (
	"math"
	"time"
)

// shareHalfLife is the time in which a request that was sent counts half. It covers some
// sends of a node that shares three replicas with sixty others.
const shareHalfLife = time.Second

// tenantShares holds the recent sends of each tenant and priority.
type tenantShares struct {
	sent map[string]float64
	// total is the sum of sent. It is kept because each request that waits is compared with it
	// after every answer.
	total float64
	// asked holds the recent requests of each tenant, sent or not.
	asked map[string]float64
	// prioritySum and priorityCount give the average priority of recent requests.
	prioritySum, priorityCount float64
	at                         time.Time
}

// decay reduces the counts by the time since the last call.
func (t *tenantShares) decay(now time.Time) {
	if t.sent == nil {
		t.sent, t.asked, t.at = map[string]float64{}, map[string]float64{}, now
	}
	factor := math.Exp2(-float64(now.Sub(t.at)) / float64(shareHalfLife))
	t.at = now
	t.prioritySum *= factor
	t.priorityCount *= factor
	t.total = 0
	for name, count := range t.asked {
		t.sent[name] *= factor
		t.asked[name] = count * factor
		if t.asked[name] < 0.01 {
			delete(t.asked, name)
			delete(t.sent, name)
			continue
		}
		t.total += t.sent[name]
	}
}

func (t *tenantShares) ask(request *Request) {
	t.asked[request.Tenant]++
	t.prioritySum += float64(request.Priority)
	t.priorityCount++
}

// send counts a request that was sent. Those of tenants without a recent request are not counted:
// decay would not remove them. Such a request waited for several half-lives.
func (t *tenantShares) send(request *Request) {
	if _, recent := t.asked[request.Tenant]; recent {
		t.sent[request.Tenant]++
		t.total++
	}
}

// belowShare reports whether a tenant has had less than its share of the recent sends, where
// several tenants have asked.
func (t *tenantShares) belowShare(tenant string) bool {
	return len(t.asked) > 1 && t.sent[tenant] < t.total/float64(len(t.asked))
}

// standing is how a request compares with the recent ones of its service.
type standing string

const (
	favored  standing = "favored"
	neutral  standing = "neutral"
	yielding standing = "yielding"
)

// standing compares a request with the recent ones: by its priority, and by its tenant's share
// if its priority is about the average.
func (t *tenantShares) standing(request *Request) standing {
	average := t.prioritySum / max(1e-9, t.priorityCount)
	const margin = 0.1
	switch {
	case float64(request.Priority) < average-margin:
		return favored
	case float64(request.Priority) > average+margin:
		return yielding
	case t.belowShare(request.Tenant):
		return favored
	}
	return neutral
}
