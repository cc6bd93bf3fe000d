package exchange

import (
	"context"
	"net"
	"time"
)

const (
	// dialTimeout is the timeout for opening a connection to a replica.
	dialTimeout = 600 * time.Millisecond
	// TCP keepalive: the idle time before the first probe, the interval between probes,
	// and the number of unacknowledged probes after which the connection is closed.
	keepAliveIdle     = 3 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
)

// Dial opens a connection to an address.
type Dial func(ctx context.Context, address string) (net.Conn, error)

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount},
	}
	return dialer.DialContext(ctx, "tcp", address)
}
