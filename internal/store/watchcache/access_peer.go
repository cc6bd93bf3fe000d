package watchcache

import (
	"sync"
	"time"
)

// accessReportTTL is how long a peer's report that the store is available to it stays
// valid.
const accessReportTTL = time.Second

// accessPeer records a peer to which the store is available, and whether this node follows
// it as its helper because the store is unavailable to itself. It is safe for concurrent
// use.
type accessPeer struct {
	mutex   sync.Mutex
	address string
	// reportedAt is when the peer last reported current. helpedAt is when this node last
	// got its changes from a helper.
	reportedAt time.Time
	helpedAt   time.Time
}

// recordCurrent records a peer that reported current.
func (p *accessPeer) recordCurrent(address string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.address, p.reportedAt = address, time.Now()
}

// recordHelped records that this node got its changes from a helper. First reports whether
// it had not done so within accessReportTTL.
func (p *accessPeer) recordHelped() (first bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	first = time.Since(p.helpedAt) > accessReportTTL
	p.helpedAt = time.Now()
	return first
}

// current returns the address of the peer if it reported current within accessReportTTL.
func (p *accessPeer) current() (address string, known bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.address, p.address != "" && time.Since(p.reportedAt) < accessReportTTL
}

// last returns the address of the peer that last reported current, "" for none.
func (p *accessPeer) last() string {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.address
}

// helper returns the address of the helper that this node follows, if it follows one.
func (p *accessPeer) helper() (address string, helped bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.address, time.Since(p.helpedAt) < accessReportTTL
}
