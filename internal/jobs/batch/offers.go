package batch

import (
	"sync"
	"time"
)

// offerBackoffTime is how long a node that did not accept an offer of a job gets no
// further ones. Nodes restarted in a planned stop are back within some seconds.
const offerBackoffTime = 5 * time.Second

// offerBackoff records until when nodes that did not accept an offer of a job get no
// further ones. It is safe for concurrent use.
type offerBackoff struct {
	mutex sync.Mutex
	// until is when a node may be asked again, by node.
	until map[string]time.Time
}

func newOfferBackoff() *offerBackoff { return &offerBackoff{until: map[string]time.Time{}} }

// isActive reports whether a node must not be asked yet.
func (b *offerBackoff) isActive(node string) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return time.Now().Before(b.until[node])
}

// start starts the backoff of a node that did not accept an offer.
func (b *offerBackoff) start(node string) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.until[node] = time.Now().Add(offerBackoffTime)
}
