package batch

import (
	"sync"
	"time"
)

// unansweredOfferTimeout is how long a node that did not accept an offer of a job gets no
// further ones. Nodes restarted in a planned stop are back within some seconds.
const unansweredOfferTimeout = 5 * time.Second

// unansweredOffers records the nodes that did not accept an offer of a job. It is safe
// for concurrent use.
type unansweredOffers struct {
	mutex sync.Mutex
	// until is when each node may be asked again.
	until map[string]time.Time
}

func newUnansweredOffers() *unansweredOffers { return &unansweredOffers{until: map[string]time.Time{}} }

// has reports whether a node must not be asked yet.
func (u *unansweredOffers) has(node string) bool {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	return time.Now().Before(u.until[node])
}

// add records that a node did not accept an offer.
func (u *unansweredOffers) add(node string) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	u.until[node] = time.Now().Add(unansweredOfferTimeout)
}
