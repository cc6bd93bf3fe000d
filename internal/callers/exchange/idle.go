package exchange

import (
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"k8s.io/klog/v2"
)

const (
	// defaultIdleTime is how long an idle connection may be reused if the replica sends no
	// Keep-Alive timeout. idleTimeMargin is subtracted from the timeout that it sends.
	defaultIdleTime = 20 * time.Second
	idleTimeMargin  = 700 * time.Millisecond
)

// popIdle removes and returns the most recently used idle connection to an address that may carry a
// request, or nil.
func (p *Pool) popIdle(address string, request *Request, once bool) *connection {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	idle := p.idle[address]
	// The peer is least likely to have closed the most recently used connection.
	for i := len(idle) - 1; i >= 0; i-- {
		if conn := idle[i]; conn.mayCarry(request, once) {
			p.idle[address] = slices.Delete(idle, i, i+1)
			return conn
		}
	}
	return nil
}

// popOldestIdle removes and returns the least recently used idle connection to an address, or nil.
func (p *Pool) popOldestIdle(address string) *connection {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	idle := p.idle[address]
	if len(idle) == 0 {
		return nil
	}
	conn := idle[0]
	p.idle[address] = slices.Delete(idle, 0, 1)
	return conn
}

// putIdle makes a connection idle so that it can be reused. It closes the connection if the
// limit on idle connections is reached. header is that of the last response, nil if there was
// none.
func (p *Pool) putIdle(conn *connection, header http.Header) {
	conn.idleSince = time.Now()
	conn.idleUntil = conn.idleSince.Add(defaultIdleTime)
	if timeout, found := keepAliveTimeout(header); found {
		conn.idleUntil = conn.idleSince.Add(timeout - idleTimeMargin)
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

// keepAliveTimeout returns the timeout in the Keep-Alive header, if there is one.
func keepAliveTimeout(header http.Header) (time.Duration, bool) {
	for _, part := range strings.Split(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(strings.TrimSpace(name), "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(strings.TrimSpace(value))
		if err != nil {
			klog.Background().V(1).Info("invalid Keep-Alive timeout, using the default", "header", part, "usualMs", defaultIdleTime.Milliseconds())
			continue
		}
		return time.Duration(seconds) * time.Second, true
	}
	return 0, false
}
