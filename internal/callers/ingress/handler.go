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
	// defaultTimeout bounds a request where neither the caller nor the route
	// names a time.
	defaultTimeout = 30 * time.Second
)

// Handler answers callers.
type Handler struct {
	config Config
	// Active counts requests in progress.
	Active atomic.Int64
	// lastRequest is when the newest request came, in nanoseconds since started.
	lastRequest atomic.Int64
	// Closing, once set, makes every answer close its connection.
	Closing atomic.Bool
	bodies  bodyReader
	started time.Time
}

// NewHandler returns a handler.
func NewHandler(config Config) *Handler {
	return &Handler{config: config, bodies: bodyReader{budget: budget{limit: config.BodyBytes}}, started: time.Now()}
}

// Quiet returns the time since the newest request came.
func (h *Handler) IdleTime() time.Duration {
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
		h.refuse(writer, id, errNoConfiguration)
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
		h.refuse(writer, id, errNoRoute)
		return
	}
	tenant, err := h.authenticate(configuration, request.Header, route.Public)
	if err != nil {
		h.refuseCaller(writer, id, err)
		return
	}
	if id == "" {
		h.refuse(writer, id, errNoRequestID)
		return
	}
	received := time.Now()
	body, release, err := h.bodies.read(request, configuration.Limits.BodyBytes)
	defer release()
	if err != nil {
		h.refuseBody(writer, id, route.Name, err)
		return
	}
	if route.Kind == directory.RouteBatch {
		h.config.Jobs.Submit(writer, request, Submitted{Route: route, ID: id, Tenant: tenant, Body: body})
		return
	}
	call := h.newCall(request, route, id, tenant, body, received)
	if route.Kind == directory.RouteStream {
		call.LastEventID = h.config.Headers.AfterEvent(request.Header)
		call.EnginePriority = dispatch.EnginePriorityOf(configuration.Tenants.PriorityOf(tenant, route.Priority))
		h.forwardStream(writer, request, route, call)
		return
	}
	h.forwardRequest(writer, request, route, call)
}

// newCall returns the call for a request that was received at a time.
func (h *Handler) newCall(request *http.Request, route *directory.Route, id, tenant string, body []byte, received time.Time) *dispatch.Call {
	return &dispatch.Call{
		ID: id, Method: request.Method, Target: request.RequestURI, Host: request.Host,
		Header: withoutConnectionHeaders(request.Header), Body: body, Deadline: h.deadline(request.Header, route, received),
		Tenant: tenant, Metered: true,
	}
}

// deadline returns when this node must have the answer: the earlier of the caller's
// deadline, less a margin, and the route's timeout.
func (h *Handler) deadline(header http.Header, route *directory.Route, received time.Time) time.Time {
	deadline := received.Add(defaultTimeout)
	if wait, named := h.config.Headers.Deadline(header); named {
		deadline = received.Add(max(wait-deadlineMargin, wait/marginDivisor))
	}
	if route.Timeout > 0 && received.Add(route.Timeout).Before(deadline) {
		deadline = received.Add(route.Timeout)
	}
	return deadline
}

// forwardRequest forwards a request with one answer and writes the answer.
func (h *Handler) forwardRequest(writer http.ResponseWriter, request *http.Request, route *directory.Route, call *dispatch.Call) {
	answer, err := h.config.Forwarder.Do(request.Context(), route, call)
	if err != nil {
		h.refuseUnserved(writer, request, call.ID, err)
		return
	}
	h.writeAnswer(writer, answer)
}
