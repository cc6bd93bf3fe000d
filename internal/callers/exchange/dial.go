package exchange

import (
	"context"
	"net"
	"time"
)

const (
	// dialTimeout bounds the opening of a connection to a replica.
	dialTimeout = 600 * time.Millisecond
	// TCP keepalive: the time without data before the first probe, the time between
	// probes, and how many without an answer end the connection.
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
