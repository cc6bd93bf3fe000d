package platform

import (
	"encoding/json"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/time/rate"

	"github.com/pathtally/pathtally/internal/environment"
	"github.com/pathtally/pathtally/internal/standalone/objectapi"
	"github.com/pathtally/pathtally/internal/standalone/standin/answer"
	"github.com/pathtally/pathtally/internal/standalone/standin/objects"
)

// Paths besides those of the object API.
const (
	PathSwitches = "/switches"
	PathWeights  = "/weights/"
	PathCounts   = "/counts"
)

const (
	defaultMachineLag = 2 * time.Second
	defaultWeightRate = 64
	maxWatchWait      = 30 * time.Second
)

// Config is what a Server needs.
type Config struct {
	// MachineLag is how late the machine list shows a change.
	MachineLag time.Duration
	// WeightLoadsPerSecond is the rate of the weight store.
	WeightLoadsPerSecond float64
}

// Counts are the requests that the platform has answered.
type Counts struct {
	Gets    int64 `json:"gets"`
	Puts    int64 `json:"puts"`
	Watches int64 `json:"watches"`
	Weights int64 `json:"weights"`
}

// Server is a running platform.
type Server struct {
	config   Config
	store    *objects.Store
	weights  *rate.Limiter
	mutex    sync.Mutex
	switches Switches
	machines map[string]environment.Machine
	shown    map[string]environment.Machine
	version  uint64
	gets     atomic.Int64
	puts     atomic.Int64
	watches  atomic.Int64
	loads    atomic.Int64
	server   *fasthttp.Server
	address  string
	// closed ends the watches that are open when the platform closes.
	closed chan struct{}
	once   sync.Once
}

// Start listens on an address; port 0 lets the system choose.
func Start(address string, config Config) (*Server, error) {
	if config.MachineLag == 0 {
		config.MachineLag = defaultMachineLag
	}
	if config.WeightLoadsPerSecond == 0 {
		config.WeightLoadsPerSecond = defaultWeightRate
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, &net.OpError{Op: "listen", Net: "tcp", Err: err}
	}
	platform := &Server{
		config:   config,
		store:    objects.NewStore(),
		weights:  rate.NewLimiter(rate.Limit(config.WeightLoadsPerSecond), max(1, int(config.WeightLoadsPerSecond)/4)),
		machines: map[string]environment.Machine{},
		shown:    map[string]environment.Machine{},
		version:  1,
		address:  listener.Addr().String(),
		closed:   make(chan struct{}),
	}
	platform.server = &fasthttp.Server{Handler: platform.handle, NoDefaultServerHeader: true, CloseOnShutdown: true, MaxRequestBodySize: 64 << 20}
	go func() { _ = platform.server.Serve(listener) }()
	return platform, nil
}

// Address is where the platform listens.
func (s *Server) Address() string { return s.address }

// Close ends the platform.
func (s *Server) Close() {
	s.once.Do(func() { close(s.closed) })
	_ = s.server.Shutdown()
}

// SetSwitches makes the platform fail, or ends that.
func (s *Server) SetSwitches(switches Switches) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.switches = switches
}

// Counts returns the requests answered.
func (s *Server) Counts() Counts {
	return Counts{Gets: s.gets.Load(), Puts: s.puts.Load(), Watches: s.watches.Load(), Weights: s.loads.Load()}
}

// SetMachine changes the machine list; readers see it after the lag. An empty
// state removes the machine.
func (s *Server) SetMachine(machine environment.Machine) {
	s.mutex.Lock()
	s.machines[machine.Address] = machine
	if machine.State == "" {
		delete(s.machines, machine.Address)
	}
	s.mutex.Unlock()
	time.AfterFunc(s.config.MachineLag, func() {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		s.shown[machine.Address] = machine
		if machine.State == "" {
			delete(s.shown, machine.Address)
		}
		s.version++
	})
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	if path == PathSwitches {
		s.handleSwitches(ctx)
		return
	}
	if path == PathCounts {
		answer.JSON(ctx, s.Counts())
		return
	}
	s.mutex.Lock()
	outage, delay := s.switches.Outage, s.switches.Delay.Std()
	s.mutex.Unlock()
	if outage {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	time.Sleep(delay)
	switch {
	case strings.HasPrefix(path, objectapi.PathObjects) && ctx.IsGet():
		s.get(ctx, strings.TrimPrefix(path, objectapi.PathObjects))
	case strings.HasPrefix(path, objectapi.PathObjects) && ctx.IsPut():
		s.put(ctx, strings.TrimPrefix(path, objectapi.PathObjects))
	case path == objectapi.PathWatch:
		s.watch(ctx)
	case path == objectapi.PathMachines && ctx.IsGet():
		s.list(ctx)
	case path == objectapi.PathMachines && ctx.IsPut():
		s.putMachine(ctx)
	case strings.HasPrefix(path, PathWeights):
		s.load(ctx)
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

func (s *Server) handleSwitches(ctx *fasthttp.RequestCtx) {
	var switches Switches
	if err := json.Unmarshal(ctx.PostBody(), &switches); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	s.SetSwitches(switches)
}

func (s *Server) list(ctx *fasthttp.RequestCtx) {
	s.mutex.Lock()
	body := objectapi.MachinesBody{Version: s.version}
	for _, machine := range s.shown {
		body.Machines = append(body.Machines, machine)
	}
	s.mutex.Unlock()
	answer.JSON(ctx, body)
}

func (s *Server) putMachine(ctx *fasthttp.RequestCtx) {
	var machine environment.Machine
	if err := json.Unmarshal(ctx.PostBody(), &machine); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	s.SetMachine(machine)
}

// load answers a read of weights when the store's rate allows it.
func (s *Server) load(ctx *fasthttp.RequestCtx) {
	reservation := s.weights.Reserve()
	time.Sleep(reservation.Delay())
	s.loads.Add(1)
	ctx.SetBodyString("weights\n")
}
