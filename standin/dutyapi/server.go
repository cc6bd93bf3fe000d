package dutyapi

import (
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Server serves the API. It is safe for concurrent use.
type Server struct {
	listener net.Listener
	server   *http.Server

	mutex      sync.Mutex
	reports    map[int64]Report
	replicas   map[Zone]int
	violations []string
	// token is the greatest token received, holder the last caller, and lastCalls the
	// time of each holder's last call.
	token     uint64
	holder    string
	lastCalls map[string]time.Time
	// status, if not 0, is the response to every call, which then has no effect.
	status int
}

// Start serves the API on a free port of the loopback interface.
func Start() (*Server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	api := &Server{listener: listener, reports: map[int64]Report{}, replicas: map[Zone]int{}, lastCalls: map[string]time.Time{}}
	api.server = &http.Server{Handler: api}
	go api.server.Serve(listener)
	return api, nil
}

// Address returns the address of the API.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Close stops the API.
func (s *Server) Close() { s.server.Close() }

// SetStatus makes the API respond to each call with a status, without any other effect; 0
// restores normal operation.
func (s *Server) SetStatus(status int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.status = status
}

// Reports returns the first report of each window.
func (s *Server) Reports() map[int64]Report {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return maps.Clone(s.reports)
}

// Replicas returns the last ordered number of replicas of each zone.
func (s *Server) Replicas() map[Zone]int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return maps.Clone(s.replicas)
}

// Violations describes the calls that violated a rule.
func (s *Server) Violations() []string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return append([]string(nil), s.violations...)
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	var body message
	token, err := strconv.ParseUint(request.Header.Get("Pathtally-Fencing-Token"), 10, 64)
	holder := request.Header.Get("Pathtally-Duty-Holder")
	if request.Method != http.MethodPost || err != nil || holder == "" ||
		json.NewDecoder(request.Body).Decode(&body) != nil || !body.isComplete(request.URL.Path) {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.status != 0 {
		writer.WriteHeader(s.status)
		return
	}
	s.checkFencing(holder, token)
	if body.Desired != nil {
		s.replicas[Zone{Service: body.Service, Zone: body.Zone}] = *body.Desired
		return
	}
	s.addReport(Report{Window: *body.Window, Holder: holder, Token: token, Counts: body.Counts, At: time.Now()})
}
