package instance

import (
	"net"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/pathtally/pathtally/internal/settings"
)

const (
	// headerTime and idleTime are laxer than any limits that operators set:
	// the handler enforces those.
	headerTime = 10 * time.Second
	idleTime   = 2 * time.Minute
	// headerBytes bounds a request's headers before any limit is known.
	headerBytes = 64 << 10
)

// listeners are the open addresses of a node; those not set are nil.
type listeners struct {
	front, peer, readiness, metrics net.Listener
}

// open opens the addresses of the settings and writes those that the system
// chose back into them.
func (l *listeners) open(configured *settings.Settings) error {
	for _, wanted := range []struct {
		setting  string
		address  *string
		listener *net.Listener
	}{
		{"http", &configured.HTTP, &l.front}, {"peer", &configured.Peer, &l.peer},
		{"readiness", &configured.Readiness, &l.readiness}, {"metrics", &configured.Metrics, &l.metrics},
	} {
		if *wanted.address == "" {
			continue
		}
		listener, err := net.Listen("tcp", *wanted.address)
		if err != nil {
			l.close()
			return &settings.ListenError{Setting: wanted.setting, Address: *wanted.address, Cause: err}
		}
		*wanted.listener, *wanted.address = listener, listener.Addr().String()
	}
	return nil
}

func (l *listeners) close() {
	for _, listener := range []net.Listener{l.front, l.peer, l.readiness, l.metrics} {
		if listener != nil {
			listener.Close()
		}
	}
}

// serve answers on the open addresses.
func (i *Instance) serve(opened *listeners) {
	i.front = newServer(i.handler)
	go i.front.Serve(opened.front)
	if opened.readiness != nil {
		go newServer(http.HandlerFunc(i.serveReadiness)).Serve(opened.readiness)
	}
	if opened.metrics != nil {
		go newServer(promhttp.HandlerFor(i.registry, promhttp.HandlerOpts{})).Serve(opened.metrics)
	}
}

func newServer(handler http.Handler) *http.Server {
	return &http.Server{Handler: handler, ReadHeaderTimeout: headerTime, IdleTimeout: idleTime, MaxHeaderBytes: headerBytes}
}
