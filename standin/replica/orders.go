package replica

import (
	"encoding/json"
	"net/http"
	"time"
)

// models returns the models field of the replica's report and entry.
func (s *Server) models() []map[string]any {
	return []map[string]any{{"name": s.config.Model, "version": s.Version(), "adapters": []string{}}}
}

// handleReport handles a request for the replica's state.
func (s *Server) handleReport(writer http.ResponseWriter) {
	models := s.models()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	json.NewEncoder(writer).Encode(map[string]any{"stage": "both", "models": models, "busy": s.busy, "seq": s.sequence, "active": s.active, "born": s.config.StartedMs})
}

// handleOrder handles an order to load a weight version.
func (s *Server) handleOrder(writer http.ResponseWriter, request *http.Request) {
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
	s.orders = append(s.orders, ReceivedOrder{Owner: order.Owner, Token: order.Token, Version: order.Version, At: time.Now()})
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
