package instance

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus/promhttp"
)

const (
	// headerTime and idleTime are laxer than any limits that operators set:
	// the handler enforces those.
	headerTime = 10 * time.Second
	idleTime   = 2 * time.Minute
	// headerBytes bounds a request's headers before any limit is known.
	headerBytes = 64 << 10
)

// listen opens the node's addresses and serves them.
func (i *Instance) listen() error {
	front, err := listen("http", i.settings.HTTP)
	if err != nil {
		return err
	}
	i.front = newServer(i.handler)
	go i.front.Serve(front)
	if i.settings.Readiness != "" {
		readiness, err := listen("readiness", i.settings.Readiness)
		if err != nil {
			return err
		}
		go newServer(http.HandlerFunc(i.serveReadiness)).Serve(readiness)
	}
	if i.settings.Metrics != "" {
		metrics, err := listen("metrics", i.settings.Metrics)
		if err != nil {
			return err
		}
		go newServer(promhttp.HandlerFor(i.registry, promhttp.HandlerOpts{})).Serve(metrics)
	}
	return nil
}

func newServer(handler http.Handler) *http.Server {
	return &http.Server{Handler: handler, ReadHeaderTimeout: headerTime, IdleTimeout: idleTime, MaxHeaderBytes: headerBytes}
}

// serveReadiness answers 200 while the node takes callers.
func (i *Instance) serveReadiness(writer http.ResponseWriter, _ *http.Request) {
	if i.Ready() {
		writer.WriteHeader(http.StatusOK)
		return
	}
	writer.WriteHeader(http.StatusServiceUnavailable)
}
