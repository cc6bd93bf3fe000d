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

// Server is a running API.
type Server struct {
	listener net.Listener
	server   *http.Server

	mutex    sync.Mutex
	reports  map[int64]Report
	replicas map[Zone]int
	findings []string
	// token is the greatest seen and holder the last caller; acted is when each
	// holder called last.
	token  uint64
	holder string
	acted  map[string]time.Time
	// status answers every call instead, 0 for none.
	status int
}

// Start serves the API on a port that the system chooses.
func Start() (*Server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	api := &Server{listener: listener, reports: map[int64]Report{}, replicas: map[Zone]int{}, acted: map[string]time.Time{}}
	api.server = &http.Server{Handler: api}
	go api.server.Serve(listener)
	return api, nil
}

// Address is where the API listens.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Close ends the API.
func (s *Server) Close() { s.server.Close() }

// SetStatus has the API answer each call with a status and no effect; 0 ends that.
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

// Replicas returns how many replicas were ordered last, by zone.
func (s *Server) Replicas() map[Zone]int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return maps.Clone(s.replicas)
}

// Findings are the calls that broke a rule.
func (s *Server) Findings() []string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return append([]string(nil), s.findings...)
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	var body message
	token, err := strconv.ParseUint(request.Header.Get("Pathtally-Fencing-Token"), 10, 64)
	holder := request.Header.Get("Pathtally-Duty-Holder")
	if request.Method != http.MethodPost || err != nil || holder == "" ||
		json.NewDecoder(request.Body).Decode(&body) != nil || !body.isWhole(request.URL.Path) {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.status != 0 {
		writer.WriteHeader(s.status)
		return
	}
	s.judge(holder, token)
	if body.Desired != nil {
		s.replicas[Zone{Service: body.Service, Zone: body.Zone}] = *body.Desired
		return
	}
	s.take(Report{Window: *body.Window, Holder: holder, Token: token, Counts: body.Counts, At: time.Now()})
}
