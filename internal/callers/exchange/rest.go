package exchange

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"k8s.io/klog/v2"
)

const (
	// keepIdle is how long a connection rests when the replica names no time,
	// and restMargin how much sooner than the replica's time it is given up.
	keepIdle   = 20 * time.Second
	restMargin = 700 * time.Millisecond
)

// pop takes the resting connection to an address that was used last, nil for
// none.
func (p *Pool) pop(address string) *connection {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	resting := p.idle[address]
	if len(resting) == 0 {
		return nil
	}
	// The one used last is the least likely to have been closed.
	conn := resting[len(resting)-1]
	p.idle[address] = resting[:len(resting)-1]
	return conn
}

// rest keeps a connection for later requests.
func (p *Pool) rest(conn *connection, header http.Header) {
	conn.rested = time.Now()
	conn.restUntil = conn.rested.Add(keepIdle)
	if seconds, named := keepAliveTime(header); named {
		conn.restUntil = conn.rested.Add(seconds - restMargin)
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	resting := p.idle[conn.address]
	if len(resting) >= p.restingBound(conn.address) {
		go p.discard(conn)
		return
	}
	p.idle[conn.address] = append(resting, conn)
}

// keepAliveTime reads the time that a peer keeps a resting connection.
func keepAliveTime(header http.Header) (time.Duration, bool) {
	for _, part := range strings.Split(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(strings.TrimSpace(name), "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(strings.TrimSpace(value))
		if err != nil {
			klog.Background().V(1).Info("time of a resting connection is no number, the usual one holds", "header", part, "usualMs", keepIdle.Milliseconds())
			continue
		}
		return time.Duration(seconds) * time.Second, true
	}
	return 0, false
}
