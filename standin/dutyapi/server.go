package dutyapi

import (
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// term is for how long after a holder's call no holder may follow another that
// followed it.
const term = 3 * time.Second

// Report is a window's usage as it was first reported.
type Report struct {
	Window int64
	Holder string
	Token  uint64
	Counts map[string]uint64
	At     time.Time
}

// Zone is a zone of a service.
type Zone struct{ Service, Zone string }

// Server is a running API.
type Server struct {
	listener net.Listener
	server   *http.Server

	mutex    sync.Mutex
	reports  map[int64]Report
	replicas map[Zone]int
	findings []string
	// token is the greatest seen, of holder; acted is when each holder called last.
	token  uint64
	holder string
	acted  map[string]time.Time
	// status answers calls in place of taking them, 0 for none.
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

// SetStatus has the API answer each call with a status and take none; 0 ends it.
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

// message is the body of a call: a report of usage, or an order of replicas.
type message struct {
	Window  *int64            `json:"windowId"`
	Counts  map[string]uint64 `json:"counts"`
	Service string            `json:"service"`
	Zone    string            `json:"zone"`
	Desired *int              `json:"desired"`
}

// isWhole tells whether a message has what its path wants.
func (m *message) isWhole(path string) bool {
	switch path {
	case "/usage":
		return m.Window != nil && m.Counts != nil
	case "/scale":
		return m.Service != "" && m.Zone != "" && m.Desired != nil
	}
	return false
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

// judge records what is wrong with the fence of a call. The mutex must be held.
func (s *Server) judge(holder string, token uint64) {
	now := time.Now()
	switch {
	case token < s.token:
		s.findings = append(s.findings, fmt.Sprintf("%s sent token %d after %d", holder, token, s.token))
	case token == s.token && holder != s.holder:
		s.findings = append(s.findings, fmt.Sprintf("%s and %s sent token %d", s.holder, holder, token))
	}
	if last, acted := s.acted[holder]; acted && holder != s.holder && now.Sub(last) < term {
		s.findings = append(s.findings, fmt.Sprintf("%s called in turns with %s", holder, s.holder))
	}
	s.token, s.holder, s.acted[holder] = max(s.token, token), holder, now
}

// take keeps a window's first report. The mutex must be held.
func (s *Server) take(report Report) {
	earlier, known := s.reports[report.Window]
	if !known {
		s.reports[report.Window] = report
		return
	}
	if !maps.Equal(earlier.Counts, report.Counts) {
		s.findings = append(s.findings, fmt.Sprintf("window %d reported as %v and as %v", report.Window, earlier.Counts, report.Counts))
	}
}
