package gateway

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/prometheus/common/expfmt"
	"github.com/valyala/fasthttp"

	"github.com/pathtally/pathtally/internal/standalone/engine"
	"github.com/pathtally/pathtally/internal/standalone/engineplan"
	"github.com/pathtally/pathtally/internal/standalone/quorum"
	"github.com/pathtally/pathtally/internal/standalone/rollout"
)

const (
	// hardBodyLimit is the maximum request body in bytes. The limit of
	// the model is checked after the body has been read.
	hardBodyLimit = 64 << 20
	// readTimeout limits reading a request, and idleTimeout the time between
	// requests on a connection.
	readTimeout = 15 * time.Second
	idleTimeout = 60 * time.Second
	// writeTimeout limits each write to a connection.
	writeTimeout = 15 * time.Second
	// lingerPollInterval is the time between checks of the open connections.
	lingerPollInterval = 20 * time.Millisecond
)

// Claims grants and records claims of requests that must run at most once.
// Callbacks may run on any goroutine.
type Claims interface {
	Grant(claim quorum.Claim, done func(quorum.GrantResult, error))
	Complete(claim quorum.Claim, outcome uint8, response []byte)
	Withdraw(claim quorum.Claim)
}

// Trainers submits, fetches and acknowledges training steps. Callbacks may run
// on any goroutine.
type Trainers interface {
	Submit(trainer string, request rollout.StepRequest, done func(error))
	Fetch(trainer string, step uint64, trainVersion int64, done func([]byte, error)) (cancel func())
	Acknowledge(trainer string, step uint64, done func(error))
}

// Config holds the dependencies and settings of a Server.
type Config struct {
	Node        string
	Zone        string
	Incarnation uint64
	Snapshot    func() *engineplan.Snapshot
	Engines     engine.Client
	Claims      Claims
	Trainers    Trainers
	Ready       func() bool
	// Status returns the body of GET /status.
	Status func() any
	// Drain starts a graceful shutdown of the node.
	Drain   func()
	Metrics *Metrics
	// Log is called at the end of each request.
	Log func(entry RequestLog)
}

// RequestLog is the log entry of a finished request.
type RequestLog struct {
	ID         string
	Group      string
	Model      string
	Outcome    string
	Code       string
	Tokens     int
	Generation uint64
	Elapsed    time.Duration
}

// Server serves a node's HTTP interface.
type Server struct {
	config   Config
	groups   *groupStates
	server   *fasthttp.Server
	sequence atomic.Uint64
	inFlight atomic.Int64
	stopping atomic.Bool
	listener net.Listener
}

// NewServer returns a server. Serve starts it.
func NewServer(config Config) *Server {
	server := &Server{config: config, groups: newGroupStates()}
	server.server = &fasthttp.Server{
		Handler:               server.handle,
		MaxRequestBodySize:    hardBodyLimit,
		ReadTimeout:           readTimeout,
		IdleTimeout:           idleTimeout,
		WriteTimeout:          0,
		NoDefaultServerHeader: true,
		CloseOnShutdown:       true,
		ErrorHandler:          server.badRequest,
		Logger:                silentLogger{},
	}
	return server
}

// silentLogger discards the log lines of fasthttp; requests are logged through
// Config.Log.
type silentLogger struct{}

// Printf implements fasthttp.Logger.
func (silentLogger) Printf(string, ...any) {}

// Serve accepts connections until Shutdown.
func (s *Server) Serve(listener net.Listener) error {
	s.listener = deadlineListener{Listener: listener}
	return s.server.Serve(s.listener)
}

// Stop refuses new completions; those in flight continue. Responses to later
// requests ask callers to close their connections.
func (s *Server) Stop() {
	s.stopping.Store(true)
	s.groups.stop()
}

// Linger closes the listener and keeps open connections until their callers
// close them or the limit has passed, so that requests on them are still
// refused with a response. Closing them at once would break requests being
// sent, and their callers could not tell whether they ran.
func (s *Server) Linger(limit time.Duration) {
	_ = s.listener.Close()
	for end := time.Now().Add(limit); s.server.GetOpenConnectionsCount() > 0 && time.Now().Before(end); {
		time.Sleep(lingerPollInterval)
	}
}

// InFlight returns the number of requests in flight.
func (s *Server) InFlight() int { return int(s.inFlight.Load()) }

// Shutdown closes the listener and idle connections.
func (s *Server) Shutdown() error { return s.server.Shutdown() }

func (s *Server) badRequest(ctx *fasthttp.RequestCtx, err error) {
	status, code := fasthttp.StatusBadRequest, codeInvalidValue
	if strings.Contains(err.Error(), "body size exceeds") {
		status, code = fasthttp.StatusRequestEntityTooLarge, codeBodyTooLarge
	}
	s.writeFailure(ctx, failureOf(&InputError{Status: status, Code: code, Message: err.Error()}), OutcomeNotRun)
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	s.inFlight.Add(1)
	if s.stopping.Load() {
		ctx.SetConnectionClose()
	}
	streaming := false
	defer func() {
		if !streaming {
			s.inFlight.Add(-1)
		}
	}()
	path := string(ctx.Path())
	switch {
	case path == "/v1/completions" && ctx.IsPost():
		streaming = s.completion(ctx, false)
	case path == "/v1/chat/completions" && ctx.IsPost():
		streaming = s.completion(ctx, true)
	case path == "/v1/models" && ctx.IsGet():
		s.models(ctx)
	case strings.HasPrefix(path, trainerPrefix):
		s.trainer(ctx, strings.TrimPrefix(path, trainerPrefix))
	case path == "/healthz":
		ctx.SetBodyString("ok\n")
	case path == "/readyz":
		s.ready(ctx)
	case path == "/metrics":
		s.metrics(ctx)
	case path == "/status":
		s.writeJSON(ctx, fasthttp.StatusOK, s.config.Status())
	case path == "/drain" && ctx.IsPost():
		s.config.Drain()
		ctx.SetBodyString("draining\n")
	default:
		s.writeFailure(ctx, failureOf(&InputError{Status: fasthttp.StatusNotFound, Code: codeNotFound, Message: "no such path: " + path}), OutcomeNotRun)
	}
}

func (s *Server) ready(ctx *fasthttp.RequestCtx) {
	if !s.config.Ready() {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		ctx.SetBodyString("not ready\n")
		return
	}
	ctx.SetBodyString("ready\n")
}

func (s *Server) metrics(ctx *fasthttp.RequestCtx) {
	families, err := s.config.Metrics.Registry.Gather()
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	var body bytes.Buffer
	for _, family := range families {
		if _, err := expfmt.MetricFamilyToText(&body, family); err != nil {
			ctx.SetStatusCode(fasthttp.StatusInternalServerError)
			return
		}
	}
	ctx.SetContentType("text/plain; version=0.0.4")
	ctx.SetBody(body.Bytes())
}

func (s *Server) models(ctx *fasthttp.RequestCtx) {
	list := modelList{Object: "list", Data: []modelItem{}}
	if snapshot := s.config.Snapshot(); snapshot != nil {
		for _, name := range sortedNames(snapshot.Models) {
			list.Data = append(list.Data, modelItem{ID: name, Object: "model", OwnedBy: "pathtally"})
		}
	}
	s.writeJSON(ctx, fasthttp.StatusOK, list)
}

func (s *Server) writeJSON(ctx *fasthttp.RequestCtx, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(data)
}

func (s *Server) writeFailure(ctx *fasthttp.RequestCtx, found failure, outcome string) {
	s.config.Metrics.refused.WithLabelValues(found.code).Inc()
	ctx.Response.Header.Set(HeaderOutcome, outcome)
	setRetryAfter(&ctx.Response.Header, found.retryAfter)
	s.writeJSON(ctx, found.status, errorResponse{Error: errorBody{Message: found.message, Type: found.kind, Code: found.code, Param: found.param}})
}

// setRetryAfter sets Retry-After in seconds, rounded up, and
// HeaderRetryAfterMs in milliseconds.
func setRetryAfter(header *fasthttp.ResponseHeader, after time.Duration) {
	if after <= 0 {
		return
	}
	header.Set(HeaderRetryAfter, strconv.Itoa(int((after+time.Second-1)/time.Second)))
	header.Set(HeaderRetryAfterMs, strconv.FormatInt(max(1, after.Milliseconds()), 10))
}

// nextID returns a request ID that is unique across nodes and restarts.
func (s *Server) nextID() string {
	return fmt.Sprintf("%s-%s-%d", s.config.Node, strconv.FormatUint(s.config.Incarnation, 36), s.sequence.Add(1))
}
