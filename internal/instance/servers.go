package instance

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus/promhttp"
	"k8s.io/klog/v2"

	"github.com/pathtally/pathtally/internal/callers/intake"
)

const (
	// headerTimeout limits the time for receiving the headers of a request, idleTimeout the
	// time between two requests on a connection. The time limits of the configuration are not
	// applied: at the limits of package intake, connections end sooner.
	headerTimeout = 10 * time.Second
	idleTimeout   = 2 * time.Minute
	// maxHeaderBytes limits the size of the headers of a request, in addition to the limit of the
	// configuration.
	maxHeaderBytes = 64 << 10
)

// serve starts the HTTP servers on the open listeners.
func (i *Instance) serve(opened *listeners) {
	metrics, resources := i.components.intakeMetrics, i.components.resources
	i.components.callers = intake.NewListener(opened.http, "callers", resources.callerLimits(i.components.maxHeadBytes), metrics)
	close(i.components.listening)
	i.components.server = newServer(i.components.handler)
	requests, cancelRequests := context.WithCancelCause(context.Background())
	i.components.server.BaseContext = func(net.Listener) context.Context { return requests }
	i.components.cancelRequests = cancelRequests
	go serveOn(i.components.server, i.components.callers, i.logger)
	if opened.readiness != nil {
		server := newServer(withoutBody(http.HandlerFunc(i.serveReadiness)))
		go serveOn(server, intake.NewListener(opened.readiness, "readiness", resources.probeLimits(), metrics), i.logger)
	}
	if opened.metrics != nil {
		server := newServer(withoutBody(promhttp.HandlerFor(i.components.registry, promhttp.HandlerOpts{})))
		go serveOn(server, intake.NewListener(opened.metrics, "metrics", resources.probeLimits(), metrics), i.logger)
	}
}

// withoutBody returns a handler of requests whose bodies are not read.
func withoutBody(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		intake.Received(request.Context())
		handler.ServeHTTP(writer, request)
	})
}

// maxHeadBytes returns the limit of the configuration on the head of a request, 0 if there is none.
func (c *components) maxHeadBytes() int64 {
	if configuration := c.directory.View().Configuration; configuration != nil {
		return int64(configuration.Limits.HeaderBytes)
	}
	return 0
}

// closeIncomplete and closeUnread have a caller that makes no progress give way to others. They
// return false if there is none, or before the node listens.
func (c *components) closeIncomplete() bool {
	return c.isListening() && c.callers.CloseIncomplete()
}

func (c *components) closeUnread() bool {
	return c.isListening() && c.callers.CloseUnread()
}

func (c *components) isListening() bool {
	select {
	case <-c.listening:
		return true
	default:
		return false
	}
}

// serveOn serves one listener until the server is closed.
func serveOn(server *http.Server, listener net.Listener, logger klog.Logger) {
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		logger.Error(err, "HTTP server failed", "address", listener.Addr().String())
	}
}

func newServer(handler http.Handler) *http.Server {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes}
	intake.Prepare(server)
	return server
}
