package replica

import (
	"net"
	"net/http"
	"sync"
)

// Server is a running replica. It is safe for concurrent use.
type Server struct {
	config   Config
	listener net.Listener
	server   *http.Server

	mutex   sync.Mutex
	version int64
	// busy is set while weights are loaded; sequence counts these loads.
	busy     bool
	sequence int64
	// active is the number of running requests, served that of all admitted ones.
	active int
	served int
	// rejected counts the rejected requests.
	rejected int
	runs     []Run
	orders   []ReceivedOrder
	faults   Faults
	ended    bool
}

// Start starts a replica on a free port of the loopback interface.
func Start(config Config) (*Server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	return Serve(config, listener), nil
}

// Serve starts a replica on a listener.
func Serve(config Config, listener net.Listener) *Server {
	replica := &Server{config: config, listener: listener, version: 1}
	replica.server = &http.Server{Handler: replica, ConnContext: withConnection}
	go replica.server.Serve(repeatingListener{listener})
	return replica
}

// Address returns the address of the replica.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Close stops the replica immediately and closes its connections.
func (s *Server) Close() {
	s.mutex.Lock()
	s.ended = true
	s.mutex.Unlock()
	s.server.Close()
}

// Ended reports whether the replica has crashed or was closed.
func (s *Server) Ended() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.ended
}

// SetFaults replaces the injected faults.
func (s *Server) SetFaults(faults Faults) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.faults = faults
}

// Runs returns the requests that the replica ran.
func (s *Server) Runs() []Run {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return append([]Run(nil), s.runs...)
}

// Orders returns the received orders.
func (s *Server) Orders() []ReceivedOrder {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return append([]ReceivedOrder(nil), s.orders...)
}

// Version returns the loaded weight version.
func (s *Server) Version() int64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.version
}

// Entry returns the replica's entry in the metadata store.
func (s *Server) Entry(service, zone string) map[string]any {
	entry := map[string]any{"service": service, "address": s.Address(), "zone": zone, "version": "v1", "slots": s.config.Slots, "state": "ready"}
	if s.config.StartedMs != 0 {
		entry["born"] = s.config.StartedMs
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
		s.handleReport(writer)
	case "/-/order":
		s.handleOrder(writer, request)
	default:
		s.handleRequest(writer, request)
	}
}
