package replica

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// begin admits and records a request if a slot is free and no weights are being loaded. number
// counts the admitted, or the rejected, requests from 1.
func (s *Server) begin(request *http.Request, body string, after int) (number int, version int64, faults Faults, admitted bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.active >= s.config.Slots || s.busy {
		s.rejected++
		return s.rejected, 0, s.faults, false
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

// loadHeader returns the load header of an answer.
func (s *Server) loadHeader() string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return fmt.Sprintf("%d,0,%d,%d", s.active, s.config.Slots, s.config.SlowdownPercent)
}

func (s *Server) end() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.active--
}

// every reports whether a fault that affects each count-th request affects this one.
func every(count, number int) bool { return count > 0 && number%count == 0 }

// handleRequest runs a request or refuses it.
func (s *Server) handleRequest(writer http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	after, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
	id := request.Header.Get("Pathtally-Request-Id")
	number, version, faults, admitted := s.begin(request, string(body), after)
	header := writer.Header()
	header.Set("Pathtally-Request-Id", id)
	if s.config.SlowdownPercent > 0 {
		header.Set("Pathtally-Instance-Load", s.loadHeader())
	}
	if !admitted {
		reject(writer, request, every(faults.RepeatRejectionEvery, number))
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
	time.Sleep(s.config.ServiceTime)
	text := "answer to " + id + ": " + string(body)
	text += strings.Repeat(".", max(0, s.config.ResponseBytes-len(text)))
	header.Set("Content-Length", strconv.Itoa(len(text)))
	io.WriteString(writer, text)
	if every(faults.ExtraResponseEvery, number) {
		s.writeSecondResponse(writer)
	}
}

// writeSecondResponse writes a second response after the complete first one.
func (s *Server) writeSecondResponse(writer http.ResponseWriter) {
	http.NewResponseController(writer).Flush()
	connection, buffer, err := http.NewResponseController(writer).Hijack()
	if err != nil {
		return
	}
	buffer.WriteString("HTTP/1.1 200 OK\r\nPathtally-Request-Id: another\r\nPathtally-Server-Stamp: x\r\nContent-Length: 7\r\n\r\nsurplus")
	buffer.Flush()
	time.AfterFunc(time.Second, func() { connection.Close() })
}

// crash stops the replica in the middle of a request.
func (s *Server) crash() {
	time.Sleep(s.config.CrashAfter)
	if s.config.OnCrash != nil {
		s.config.OnCrash()
	}
	s.Close()
	panic(http.ErrAbortHandler)
}
