package replica

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Config describes a replica.
type Config struct {
	ID string
	// Slots is how many requests run at once; more are turned away.
	Slots int
	// Model makes it a model engine.
	Model string
	// EventInterval is the time between the events of a stream.
	EventInterval time.Duration
	// LoadTime is how long a change of weights takes.
	LoadTime time.Duration
	// Work is how long a plain request takes.
	Work time.Duration
	// CrashOn ends the replica when it has run a request whose body has this text in it
	// for CrashAfter; empty for none.
	CrashOn    string
	CrashAfter time.Duration
	// Born is when the replica started, in milliseconds since the start of 1970; 0 says
	// nothing of it.
	Born int64
	// OnCrash is called before such an end, nil for nothing.
	OnCrash func()
}

// Run is one request that a replica ran.
type Run struct {
	ID      string
	Method  string
	Target  string
	Body    string
	After   int
	Version int64
	// Tenant is whose request it was said to be, and Credentials what it carried
	// of its caller's, which is to be nothing.
	Tenant      string
	Credentials string
	// Priority is the rank that it was given among others, empty for none.
	Priority string
	At       time.Time
}

// OrderSeen is one order as it arrived.
type OrderSeen struct {
	Owner   string
	Token   uint64
	Version int64
	At      time.Time
}

// Faults are the misbehaviours of a replica.
type Faults struct {
	// CutEvery ends each such run in the middle of an event, 0 for none.
	CutEvery int
	// SurplusEvery sends a second answer after each such one, 0 for none.
	SurplusEvery int
	// WrongIDEvery answers each such request under another's id, 0 for none.
	WrongIDEvery int
}

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

// crash ends the replica in the midst of a request that it runs.
func (s *Server) crash() {
	time.Sleep(s.config.CrashAfter)
	if s.config.OnCrash != nil {
		s.config.OnCrash()
	}
	s.Close()
	panic(http.ErrAbortHandler)
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

func (s *Server) models() []map[string]any {
	return []map[string]any{{"name": s.config.Model, "version": s.Version(), "adapters": []string{}}}
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

func (s *Server) report(writer http.ResponseWriter) {
	models := s.models()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	json.NewEncoder(writer).Encode(map[string]any{"stage": "both", "models": models, "busy": s.busy, "seq": s.sequence, "active": s.active, "born": s.config.Born})
}

// order takes a change of weights.
func (s *Server) order(writer http.ResponseWriter, request *http.Request) {
	var order struct {
		Op       string
		Model    string
		Version  int64
		Owner    string
		Token    uint64 `json:"fencingToken"`
		Expected *int64
	}
	if json.NewDecoder(request.Body).Decode(&order) != nil || order.Op != "version" || order.Owner == "" || order.Token == 0 {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.orders = append(s.orders, OrderSeen{Owner: order.Owner, Token: order.Token, Version: order.Version, At: time.Now()})
	switch {
	case s.version == order.Version:
		writer.WriteHeader(http.StatusOK)
		return
	case s.busy || (order.Expected != nil && *order.Expected != s.sequence):
		writer.WriteHeader(http.StatusConflict)
		return
	}
	s.busy = true
	s.sequence++
	time.AfterFunc(s.config.LoadTime, func() {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		s.busy, s.version = false, order.Version
	})
	writer.WriteHeader(http.StatusAccepted)
}

// begin admits a request or says why not.
func (s *Server) begin(request *http.Request, body string, after int) (number int, version int64, faults Faults, admitted bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.active >= s.config.Slots || s.busy {
		return 0, 0, Faults{}, false
	}
	s.active++
	s.served++
	s.runs = append(s.runs, Run{
		ID: request.Header.Get("Pathtally-Request-Id"), Method: request.Method, Target: request.RequestURI, Body: body, After: after, Version: s.version, At: time.Now(),
		Tenant: request.Header.Get("Pathtally-Tenant"), Credentials: request.Header.Get("Authorization"),
		Priority: request.Header.Get("Pathtally-Request-Priority"),
	})
	return s.served, s.version, s.faults, true
}

func (s *Server) end() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.active--
}

func every(count, number int) bool { return count > 0 && number%count == 0 }

// serve runs a request or turns it away.
func (s *Server) serve(writer http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	after, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
	id := request.Header.Get("Pathtally-Request-Id")
	number, version, faults, admitted := s.begin(request, string(body), after)
	header := writer.Header()
	header.Set("Pathtally-Request-Id", id)
	if !admitted {
		header.Set("Pathtally-Not-Executed", "1")
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer s.end()
	if s.config.CrashOn != "" && strings.Contains(string(body), s.config.CrashOn) {
		s.crash()
	}
	if every(faults.WrongIDEvery, number) {
		header.Set("Pathtally-Request-Id", "another")
	}
	header.Set("Pathtally-Server-Stamp", fmt.Sprintf("%s.%d", s.config.ID, number))
	if s.config.Model != "" {
		s.stream(writer, request, after, number, version, faults)
		return
	}
	time.Sleep(s.config.Work)
	answer := "answer to " + id + ": " + string(body)
	header.Set("Content-Length", strconv.Itoa(len(answer)))
	io.WriteString(writer, answer)
	if every(faults.SurplusEvery, number) {
		s.surplus(writer)
	}
}

// surplus sends a second answer behind the whole one.
func (s *Server) surplus(writer http.ResponseWriter) {
	http.NewResponseController(writer).Flush()
	connection, buffer, err := http.NewResponseController(writer).Hijack()
	if err != nil {
		return
	}
	buffer.WriteString("HTTP/1.1 200 OK\r\nPathtally-Request-Id: another\r\nPathtally-Server-Stamp: x\r\nContent-Length: 7\r\n\r\nsurplus")
	buffer.Flush()
	time.AfterFunc(time.Second, func() { connection.Close() })
}

// stream sends the events of a generation, whose number its id decides.
func (s *Server) stream(writer http.ResponseWriter, request *http.Request, after, number int, version int64, faults Faults) {
	header := writer.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Pathtally-Weight-Versions", strconv.FormatInt(version, 10))
	writer.WriteHeader(http.StatusOK)
	id := request.Header.Get("Pathtally-Request-Id")
	total := Events(id)
	for event := after + 1; event <= total; event++ {
		select {
		case <-request.Context().Done():
			return
		case <-time.After(s.config.EventInterval):
		}
		if every(faults.CutEvery, number) && event == after+2 {
			fmt.Fprintf(writer, "id: %d\nda", event)
			http.NewResponseController(writer).Flush()
			panic(http.ErrAbortHandler)
		}
		if now := s.Version(); now != version {
			version = now
			fmt.Fprintf(writer, "pathtally-weight-versions: %d\n", version)
		}
		fmt.Fprintf(writer, "id: %d\ndata: %s\n\n", event, Data(id, event))
		http.NewResponseController(writer).Flush()
	}
}

// Events is how many events the generation of a request has.
func Events(id string) int { return 2 + len(id)%3 }

// Data is the text of one event of a request.
func Data(id string, event int) string { return fmt.Sprintf("%s-%d", id, event) }

// Text is the whole text of a request.
func Text(id string) string {
	parts := make([]string, 0, Events(id))
	for event := 1; event <= Events(id); event++ {
		parts = append(parts, Data(id, event))
	}
	return strings.Join(parts, "\n")
}
