package exchange

import (
	"context"
	"net"
	"time"
)

const (
	// dialTime bounds a new connection to a replica.
	dialTime = 600 * time.Millisecond
	// probeAfter is after how long without a word of the peer the system asks
	// whether it is still there, probePause the time between two such questions,
	// and probes how many without an answer end the connection.
	probeAfter = 3 * time.Second
	probePause = time.Second
	probes     = 2
)

// Dial opens a connection.
type Dial func(ctx context.Context, address string) (net.Conn, error)

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{
		Timeout:         dialTime,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeAfter, Interval: probePause, Count: probes},
	}
	return dialer.DialContext(ctx, "tcp", address)
}
