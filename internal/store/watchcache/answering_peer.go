package watchcache

import (
	"sync"
	"time"
)

// helpMaxAge is how long another node's statement that the store answers it counts.
const helpMaxAge = time.Second

// answeringPeer remembers a node that the store answers, and whether this node gets its
// changes from one because the store doesn't answer it. It is safe for concurrent use.
type answeringPeer struct {
	mutex   sync.Mutex
	address string
	// seenAt is when that node last was current, and helpedAt when this node last got its
	// changes from one while the store didn't answer it.
	seenAt   time.Time
	helpedAt time.Time
}

// record records a node that is current.
func (p *answeringPeer) record(address string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.address, p.seenAt = address, time.Now()
}

// recordHelp records that this node got its changes from another node. First reports
// whether it had not within helpMaxAge.
func (p *answeringPeer) recordHelp() (first bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	first = time.Since(p.helpedAt) > helpMaxAge
	p.helpedAt = time.Now()
	return first
}

// current returns the address of a node that was current within helpMaxAge.
func (p *answeringPeer) current() (address string, known bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.address, p.address != "" && time.Since(p.seenAt) < helpMaxAge
}

// last returns the address of the node that was last known to be current, "" for none.
func (p *answeringPeer) last() string {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.address
}

// helper returns the address of the node that helps this one now, if one does.
func (p *answeringPeer) helper() (address string, helped bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.address, time.Since(p.helpedAt) < helpMaxAge
}
