package exchange

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"k8s.io/klog/v2"
)

const (
	// defaultIdleTime is how long an idle connection is kept if the replica names no time,
	// and idleTimeMargin how much sooner than the replica's time it is given up.
	defaultIdleTime = 20 * time.Second
	idleTimeMargin  = 700 * time.Millisecond
)

// popIdle takes the idle connection to an address that was used last, nil for none.
func (p *Pool) popIdle(address string) *connection {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	idle := p.idle[address]
	if len(idle) == 0 {
		return nil
	}
	// The one used last is the least likely to have been closed.
	conn := idle[len(idle)-1]
	p.idle[address] = idle[:len(idle)-1]
	return conn
}

// keep keeps a connection for further requests, unless there are enough idle ones.
func (p *Pool) keep(conn *connection, header http.Header) {
	conn.idleSince = time.Now()
	conn.idleUntil = conn.idleSince.Add(defaultIdleTime)
	if seconds, named := keepAliveTime(header); named {
		conn.idleUntil = conn.idleSince.Add(seconds - idleTimeMargin)
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	idle := p.idle[conn.address]
	if len(idle) >= p.maxIdle(conn.address) {
		go p.discard(conn)
		return
	}
	p.idle[conn.address] = append(idle, conn)
}

// keepAliveTime returns how long the peer keeps an idle connection, by its Keep-Alive header.
func keepAliveTime(header http.Header) (time.Duration, bool) {
	for _, part := range strings.Split(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(strings.TrimSpace(name), "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(strings.TrimSpace(value))
		if err != nil {
			klog.Background().V(1).Info("Keep-Alive timeout is no number, using the default", "header", part, "usualMs", defaultIdleTime.Milliseconds())
			continue
		}
		return time.Duration(seconds) * time.Second, true
	}
	return 0, false
}
