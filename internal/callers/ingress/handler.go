package ingress

import (
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pathtally/pathtally/internal/callers/dispatch"
	"github.com/pathtally/pathtally/internal/replicas/directory"
)

const (
	// deadlineMargin is kept of the caller's time for the way back, but no more
	// than one in marginDivisor of that time.
	deadlineMargin = 15 * time.Millisecond
	marginDivisor  = 2
	// unboundedTime is the deadline where neither the caller nor the route
	// names one.
	unboundedTime = 30 * time.Second
	// unconfiguredWait is when to come back to a node without a configuration.
	unconfiguredWait = 250 * time.Millisecond
)

// Handler answers callers.
type Handler struct {
	config Config
	// Active counts requests in progress.
	Active atomic.Int64
	// lastRequest is when the newest request came, as a span since started.
	lastRequest atomic.Int64
	// Closing has every answer end its connection.
	Closing atomic.Bool
	bodies  bodyReader
	started time.Time
}

// NewHandler returns a handler.
func NewHandler(config Config) *Handler {
	return &Handler{config: config, bodies: bodyReader{budget: budget{limit: config.BodyBytes}}, started: time.Now()}
}

// Quiet is how long no request has come.
func (h *Handler) Quiet() time.Duration {
	return time.Since(h.started) - time.Duration(h.lastRequest.Load())
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	h.Active.Add(1)
	defer h.Active.Add(-1)
	h.lastRequest.Store(int64(time.Since(h.started)))
	if h.Closing.Load() {
		writer.Header().Set("Connection", "close")
	}
	id := h.config.Headers.RequestID(request.Header)
	configuration := h.config.Directory.View().Configuration
	if configuration == nil {
		h.refuse(writer, id, http.StatusServiceUnavailable, "no configuration is known yet", unconfiguredWait)
		return
	}
	if h.config.Jobs.IsCall(request) {
		h.serveJobCall(writer, request, configuration, id)
		return
	}
	h.serveRequest(writer, request, configuration, id)
}

// serveJobCall answers a call about a batch job.
func (h *Handler) serveJobCall(writer http.ResponseWriter, request *http.Request, configuration *directory.Configuration, id string) {
	tenant, err := h.authenticate(configuration, request.Header, configuration.JobCallsArePublic(request.Host))
	if err != nil {
		h.refuseCaller(writer, id, err)
		return
	}
	h.config.Jobs.ServeCall(writer, request, tenant)
}

// serveRequest answers a request on a route.
func (h *Handler) serveRequest(writer http.ResponseWriter, request *http.Request, configuration *directory.Configuration, id string) {
	route := configuration.Lookup(request.Host, request.URL.EscapedPath())
	if route == nil {
		h.refuse(writer, id, http.StatusNotFound, "no route for the host and path", 0)
		return
	}
	tenant, err := h.authenticate(configuration, request.Header, route.Public)
	if err != nil {
		h.refuseCaller(writer, id, err)
		return
	}
	if id == "" {
		h.refuse(writer, id, http.StatusBadRequest, "the request has no id", 0)
		return
	}
	received := time.Now()
	body, release, err := h.bodies.read(request, configuration.Limits.BodyBytes)
	defer release()
	if err != nil {
		h.refuseBody(writer, id, route, err)
		return
	}
	if route.Kind == directory.RouteBatch {
		h.config.Jobs.Submit(writer, request, Submitted{Route: route, ID: id, Tenant: tenant, Body: body})
		return
	}
	call := &dispatch.Call{
		ID: id, Method: request.Method, Target: request.RequestURI, Host: request.Host,
		Header: withoutConnectionHeaders(request.Header), Body: body, Deadline: h.deadline(request.Header, route, received),
		Tenant: tenant, Metered: true,
	}
	if route.Kind == directory.RouteStream {
		call.AfterEvent, call.Rank = h.config.Headers.AfterEvent(request.Header), dispatch.RankOf(configuration.Tenants.PriorityOf(tenant, route.Priority))
		h.stream(writer, request, route, call)
		return
	}
	h.forward(writer, request, route, call)
}

// deadline is when a request must have its answer here: by the caller's time
// and the route's bound.
func (h *Handler) deadline(header http.Header, route *directory.Route, received time.Time) time.Time {
	deadline := received.Add(unboundedTime)
	if wait, named := h.config.Headers.Deadline(header); named {
		deadline = received.Add(max(wait-deadlineMargin, wait/marginDivisor))
	}
	if route.Timeout > 0 && received.Add(route.Timeout).Before(deadline) {
		deadline = received.Add(route.Timeout)
	}
	return deadline
}

// forward sends a live request on and writes what became of it.
func (h *Handler) forward(writer http.ResponseWriter, request *http.Request, route *directory.Route, call *dispatch.Call) {
	whole, err := h.config.Forwarder.Do(request.Context(), route, call)
	if err == nil {
		h.pass(writer, whole)
		return
	}
	h.fail(writer, request, call, err)
}
