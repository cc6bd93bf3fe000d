package instance

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus/promhttp"
	"k8s.io/klog/v2"
)

const (
	// headerTimeout limits the time for receiving the headers of a request, idleTimeout the
	// time between two requests on a connection. The limits of the configuration are not
	// applied to them.
	headerTimeout = 10 * time.Second
	idleTimeout   = 2 * time.Minute
	// maxHeaderBytes limits the size of the headers of a request.
	maxHeaderBytes = 64 << 10
)

// serve starts the HTTP servers on the open listeners.
func (i *Instance) serve(opened *listeners) {
	i.components.server = newServer(i.components.handler)
	requests, cancelRequests := context.WithCancelCause(context.Background())
	i.components.server.BaseContext = func(net.Listener) context.Context { return requests }
	i.components.cancelRequests = cancelRequests
	go serveOn(i.components.server, opened.http, i.logger)
	if opened.readiness != nil {
		go serveOn(newServer(http.HandlerFunc(i.serveReadiness)), opened.readiness, i.logger)
	}
	if opened.metrics != nil {
		go serveOn(newServer(promhttp.HandlerFor(i.components.registry, promhttp.HandlerOpts{})), opened.metrics, i.logger)
	}
}

// serveOn serves one listener until the server is closed.
func serveOn(server *http.Server, listener net.Listener, logger klog.Logger) {
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		logger.Error(err, "HTTP server failed", "address", listener.Addr().String())
	}
}

func newServer(handler http.Handler) *http.Server {
	return &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes}
}
