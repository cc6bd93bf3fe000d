package replica

import (
	"net"
	"net/http"
	"sync"
)

// Server is a running replica.
type Server struct {
	config   Config
	listener net.Listener
	server   *http.Server

	mutex    sync.Mutex
	version  int64
	busy     bool
	sequence int64
	active   int
	served   int
	runs     []Run
	orders   []OrderSeen
	faults   Faults
	ended    bool
}

// Start serves a replica on a port that the system chooses.
func Start(config Config) (*Server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	return Serve(config, listener), nil
}

// Serve serves a replica on a listener, which may be one in memory.
func Serve(config Config, listener net.Listener) *Server {
	replica := &Server{config: config, listener: listener, version: 1}
	replica.server = &http.Server{Handler: replica}
	go replica.server.Serve(listener)
	return replica
}

// Address is where the replica listens.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Close ends the replica at once.
func (s *Server) Close() {
	s.mutex.Lock()
	s.ended = true
	s.mutex.Unlock()
	s.server.Close()
}

// Ended tells whether the replica has ended, by itself or not.
func (s *Server) Ended() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.ended
}

// SetFaults changes how the replica misbehaves.
func (s *Server) SetFaults(faults Faults) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.faults = faults
}

// Runs returns what the replica ran.
func (s *Server) Runs() []Run {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return append([]Run(nil), s.runs...)
}

// Orders returns the orders that arrived.
func (s *Server) Orders() []OrderSeen {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return append([]OrderSeen(nil), s.orders...)
}

// Version is the weight version that the replica has.
func (s *Server) Version() int64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.version
}

// Entry is the replica's entry in the metadata store.
func (s *Server) Entry(service, zone string) map[string]any {
	entry := map[string]any{"service": service, "address": s.Address(), "zone": zone, "version": "v1", "slots": s.config.Slots, "state": "ready"}
	if s.config.Born != 0 {
		entry["born"] = s.config.Born
	}
	if s.config.Model != "" {
		entry["stage"] = "both"
		entry["models"] = s.models()
	}
	return entry
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if expected := request.Header.Get("Pathtally-Expect-Instance"); expected != "" && expected != s.config.ID {
		writer.Header().Set("Pathtally-Instance-Id", s.config.ID)
		writer.Header().Set("Pathtally-Request-Id", request.Header.Get("Pathtally-Request-Id"))
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch request.URL.Path {
	case "/-/report":
		s.report(writer)
	case "/-/order":
		s.order(writer, request)
	default:
		s.serve(writer, request)
	}
}
