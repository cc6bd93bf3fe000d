package engine

import (
	"encoding/json"
	"net"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	protocol "github.com/pathtally/pathtally/internal/standalone/engine"
	"github.com/pathtally/pathtally/internal/standalone/enginemodel"
	"github.com/pathtally/pathtally/internal/standalone/standin/answer"
)

// Paths besides those of the engine protocol.
const (
	PathFaults = "/faults"
	PathDrain  = "/drain"
	PathRuns   = "/runs"
)

const (
	statusLag      = 150 * time.Millisecond
	truncateTokens = 3
	fullComeBack   = 200 * time.Millisecond
	importTimeout  = time.Second
	idleTimeout    = 30 * time.Second
)

// Config is what a Server needs.
type Config struct {
	Parameters enginemodel.Parameters
	Lengths    enginemodel.Lengths
	Version    int64
	// WeightStore is the address of the weight store; empty loads at once.
	WeightStore string
}

// Server is a running engine.
type Server struct {
	config  Config
	address string
	server  *fasthttp.Server
	client  *fasthttp.Client
	wake    chan struct{}
	closed  chan struct{}
	once    sync.Once

	mutex    sync.Mutex
	model    *enginemodel.Model
	streams  map[string]*outStream
	exports  map[string]enginemodel.Sequence
	tokens   map[string]uint64
	staged   int64
	started  int64
	lagging  protocol.Status
	lagUntil time.Time
	faults   Faults
	runs     map[uint64]int
}

// Start listens on an address; port 0 lets the system choose.
func Start(address string, config Config) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, &net.OpError{Op: "listen", Net: "tcp", Err: err}
	}
	engine := &Server{
		config:  config,
		address: listener.Addr().String(),
		client:  &fasthttp.Client{},
		wake:    make(chan struct{}, 1),
		closed:  make(chan struct{}),
		model:   enginemodel.New(config.Parameters, config.Version),
		streams: map[string]*outStream{},
		exports: map[string]enginemodel.Sequence{},
		tokens:  map[string]uint64{},
		staged:  config.Version,
		started: time.Now().UnixMilli(),
		runs:    map[uint64]int{},
	}
	engine.server = &fasthttp.Server{Handler: engine.handle, NoDefaultServerHeader: true, CloseOnShutdown: true, IdleTimeout: idleTimeout, MaxRequestBodySize: 64 << 20}
	go func() { _ = engine.server.Serve(listener) }()
	go engine.run()
	return engine, nil
}

// Address is where the engine listens.
func (s *Server) Address() string { return s.address }

// Close ends the engine at once, as a crash does.
func (s *Server) Close() {
	s.once.Do(func() {
		close(s.closed)
		s.mutex.Lock()
		for _, stream := range s.streams {
			stream.abort()
		}
		s.mutex.Unlock()
		_ = s.server.Shutdown()
	})
}

// Runs is how often a prompt was admitted anew; streams that were resumed or
// handed over by another engine do not count.
func (s *Server) Runs(prompt string) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.runs[xxhash.Sum64String(prompt)]
}

// SetFaults makes the engine fail.
func (s *Server) SetFaults(faults Faults) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.faults = faults
}

// run advances the model by the wall clock.
func (s *Server) run() {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		s.mutex.Lock()
		s.model.Advance(time.Now())
		s.distribute()
		next, busy := s.model.Next()
		s.mutex.Unlock()
		wait := time.Hour
		if busy {
			wait = max(0, time.Until(next))
		}
		timer.Reset(wait)
		select {
		case <-timer.C:
		case <-s.wake:
		case <-s.closed:
			return
		}
	}
}

func (s *Server) signal() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// distribute hands the model's outputs to their streams.
func (s *Server) distribute() {
	for _, output := range s.model.Take() {
		stream := s.streams[output.ID]
		if stream == nil {
			continue
		}
		stream.add(output)
		if output.Ended {
			delete(s.streams, output.ID)
		}
	}
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case protocol.PathCompletions:
		s.complete(ctx)
	case protocol.PathStatus:
		s.mutex.Lock()
		status := s.laggedStatus()
		s.mutex.Unlock()
		answer.JSON(ctx, status)
	case protocol.PathOrders:
		s.order(ctx)
	case protocol.PathCancel:
		s.named(ctx, s.cancel)
	case protocol.PathExport:
		s.named(ctx, func(id string) { s.export(id) })
	case protocol.PathImport:
		s.handOver(ctx)
	case PathFaults:
		var faults Faults
		if err := json.Unmarshal(ctx.PostBody(), &faults); err == nil {
			s.SetFaults(faults)
		}
	case PathRuns:
		answer.JSON(ctx, s.Runs(string(ctx.QueryArgs().Peek("prompt"))))
	case PathDrain:
		go s.Drain(0)
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

// laggedStatus is the status as it was a little while ago.
func (s *Server) laggedStatus() protocol.Status {
	now := time.Now()
	if now.After(s.lagUntil) {
		s.lagging = s.status()
		s.lagUntil = now.Add(statusLag)
	}
	return s.lagging
}

func (s *Server) status() protocol.Status {
	return protocol.Status{
		Running: s.model.Running(), Waiting: s.model.Waiting(), Version: s.model.Version(),
		Staged: s.staged, Draining: s.model.Draining(), Started: s.started,
	}
}

func refuse(ctx *fasthttp.RequestCtx, status int, reason string, comeBack time.Duration) {
	ctx.SetStatusCode(status)
	answer.JSON(ctx, protocol.ErrorBody{Reason: reason, RetryAfterMillis: comeBack.Milliseconds()})
}
