package watchcache

import (
	"sync"
	"time"
)

// helpMaxAge is how long a peer's report that the store is available to it stays valid.
const helpMaxAge = time.Second

// answeringPeer records a peer to which the store is available, and whether this node
// follows one as its fallback because the store is unavailable to itself. It is safe for
// concurrent use.
type answeringPeer struct {
	mutex   sync.Mutex
	address string
	// seenAt is when the peer last reported current. helpedAt is when this node last got
	// its changes from a fallback peer.
	seenAt   time.Time
	helpedAt time.Time
}

// record records a peer that reported current.
func (p *answeringPeer) record(address string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.address, p.seenAt = address, time.Now()
}

// recordHelp records that this node got its changes from a fallback peer. First reports
// whether it had not done so within helpMaxAge.
func (p *answeringPeer) recordHelp() (first bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	first = time.Since(p.helpedAt) > helpMaxAge
	p.helpedAt = time.Now()
	return first
}

// current returns the address of the peer if it reported current within helpMaxAge.
func (p *answeringPeer) current() (address string, known bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.address, p.address != "" && time.Since(p.seenAt) < helpMaxAge
}

// last returns the address of the peer that last reported current, "" for none.
func (p *answeringPeer) last() string {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.address
}

// helper returns the address of the fallback peer that this node follows, if it follows
// one.
func (p *answeringPeer) helper() (address string, helped bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.address, time.Since(p.helpedAt) < helpMaxAge
}
