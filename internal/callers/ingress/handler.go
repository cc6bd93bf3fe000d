package ingress

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pathtally/pathtally/internal/callers/bytebudget"
	"github.com/pathtally/pathtally/internal/callers/dispatch"
	"github.com/pathtally/pathtally/internal/callers/exchange"
	"github.com/pathtally/pathtally/internal/replicas/directory"
)

const (
	// deadlineMargin is subtracted from the caller's timeout to leave time for sending the
	// response, but at least 1/marginDivisor of the timeout remains.
	deadlineMargin = 15 * time.Millisecond
	marginDivisor  = 2
	// defaultTimeout applies to a request if neither the caller nor the route sets a timeout.
	defaultTimeout = 30 * time.Second
)

// Handler serves the requests of callers.
type Handler struct {
	config Config
	// Active is the number of requests in progress.
	Active atomic.Int64
	// lastRequest is the arrival time of the latest request, in nanoseconds since started.
	lastRequest atomic.Int64
	// stop is set once the node stops.
	stop    atomic.Pointer[plannedStop]
	bodies  bodyReader
	started time.Time
}

func NewHandler(config Config) *Handler {
	if config.Received == nil {
		config.Received = func(context.Context) {}
	}
	budget := bytebudget.New(config.MaxTotalBodyBytes)
	budget.Relieve = config.RelieveBodies
	return &Handler{config: config, bodies: bodyReader{budget: budget}, started: time.Now()}
}

// IdleTime returns the time since the latest request arrived.
func (h *Handler) IdleTime() time.Duration {
	return time.Since(h.started) - time.Duration(h.lastRequest.Load())
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	h.Active.Add(1)
	defer h.Active.Add(-1)
	h.lastRequest.Store(int64(time.Since(h.started)))
	stop := h.stop.Load()
	if stop != nil {
		writer.Header().Set("Connection", "close")
	}
	id := h.config.Headers.RequestID(request.Header)
	configuration := h.config.Directory.View().Configuration
	if configuration == nil {
		h.refuse(writer, id, errNoConfiguration)
		return
	}
	if h.config.Jobs.IsJobRequest(request) {
		if now := time.Now(); !stop.takes(now, now.Add(maxJobCallTime)) {
			h.refuse(writer, id, errStopping)
			return
		}
		h.serveJobRequest(writer, request, configuration, id)
		return
	}
	h.serveRequest(writer, request, configuration, id)
}

// serveJobRequest serves a request about an existing batch job.
func (h *Handler) serveJobRequest(writer http.ResponseWriter, request *http.Request, configuration *directory.Configuration, id string) {
	tenant, err := h.authenticate(configuration, request.Header, configuration.JobCallsArePublic(request.Host))
	if err != nil {
		h.refuseUnauthenticated(writer, id, err)
		return
	}
	h.config.Received(request.Context())
	h.config.Jobs.ServeJobRequest(writer, request, tenant)
}

// serveRequest serves a request that is matched to a route.
func (h *Handler) serveRequest(writer http.ResponseWriter, request *http.Request, configuration *directory.Configuration, id string) {
	route := configuration.Lookup(request.Host, request.URL.EscapedPath())
	if route == nil {
		h.refuse(writer, id, errNoRoute)
		return
	}
	tenant, err := h.authenticate(configuration, request.Header, route.Public)
	if err != nil {
		h.refuseUnauthenticated(writer, id, err)
		return
	}
	if id == "" {
		h.refuse(writer, id, errNoRequestID)
		return
	}
	received := time.Now()
	if !h.stop.Load().takes(received, h.lastEnd(request.Header, route, received)) {
		h.refuse(writer, id, errStopping)
		return
	}
	body, release, err := h.bodies.read(request, configuration.Limits.BodyBytes)
	defer release()
	if err != nil {
		h.handleBodyError(writer, id, route.Name, err)
		return
	}
	h.config.Received(request.Context())
	if route.Kind == directory.RouteBatch {
		h.config.Jobs.Submit(writer, request, Submission{Route: route, ID: id, Tenant: tenant, Body: body})
		return
	}
	call := h.newCall(request, route, id, tenant, body, received)
	if route.Kind == directory.RouteStream {
		call.LastEventID = h.config.Headers.LastEventID(request.Header)
		call.EnginePriority = dispatch.EnginePriorityOf(configuration.Tenants.PriorityOf(tenant, route.Priority))
		h.forwardStream(writer, request, route, call)
		return
	}
	h.forwardRequest(writer, request, route, call)
}

// newCall returns the dispatch call for a request received at the given time.
func (h *Handler) newCall(request *http.Request, route *directory.Route, id, tenant string, body []byte, received time.Time) *dispatch.Call {
	return &dispatch.Call{
		ID: id, Method: request.Method, Target: request.RequestURI, Host: request.Host,
		Header: exchange.WithoutConnectionHeaders(request.Header), Body: body, Deadline: h.deadline(request.Header, route, received),
		Tenant: tenant, Metered: true,
	}
}

// deadline returns the time by which this node must have the response: the caller's deadline
// less a margin or the route's timeout, whichever is earlier.
func (h *Handler) deadline(header http.Header, route *directory.Route, received time.Time) time.Time {
	deadline := received.Add(defaultTimeout)
	if timeout, found := h.config.Headers.Deadline(header); found {
		deadline = received.Add(max(timeout-deadlineMargin, timeout/marginDivisor))
	}
	if route.Timeout > 0 && received.Add(route.Timeout).Before(deadline) {
		deadline = received.Add(route.Timeout)
	}
	return deadline
}

// lastEnd returns the time by which a request on a route ends at the latest.
func (h *Handler) lastEnd(header http.Header, route *directory.Route, received time.Time) time.Time {
	if route.Kind == directory.RouteBatch {
		return received.Add(maxJobCallTime)
	}
	return h.deadline(header, route, received)
}

// forwardRequest forwards a request that gets a single response, and writes the response.
func (h *Handler) forwardRequest(writer http.ResponseWriter, request *http.Request, route *directory.Route, call *dispatch.Call) {
	response, err := h.config.Forwarder.Do(request.Context(), route, call)
	if err != nil {
		h.handleForwardError(writer, request, call.ID, err)
		return
	}
	defer response.Release()
	h.writeResponse(writer, response)
}
