package batch

import (
	"sync"
	"time"
)

// unansweredOfferTimeout is how long a node that did not answer an offer of a job is not
// asked again: the machines of a planned stop are back within some seconds.
const unansweredOfferTimeout = 5 * time.Second

// unansweredOffers remembers the nodes that did not answer an offer of a job. It is safe
// for use by many goroutines.
type unansweredOffers struct {
	mutex sync.Mutex
	// until is when each node may be asked again.
	until map[string]time.Time
}

func newUnansweredOffers() *unansweredOffers { return &unansweredOffers{until: map[string]time.Time{}} }

// has tells whether a node is not to be asked now.
func (u *unansweredOffers) has(node string) bool {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	return time.Now().Before(u.until[node])
}

// add records that a node has not answered.
func (u *unansweredOffers) add(node string) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	u.until[node] = time.Now().Add(unansweredOfferTimeout)
}
