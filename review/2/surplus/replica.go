package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pathtally/pathtally/review/standin"
)

const (
	// events is the number of events of a stream, and eventInterval the time between them.
	events        = 5
	eventInterval = 20 * time.Millisecond
	// busyEvery makes one in so many requests find the slots of all replicas taken.
	busyEvery = 4
)

// run is one run of a request at a replica.
type run struct{ replica, id string }

// replica is a stand-in for a model replica, which answers with streams. When a request that is marked as
// busy arrives for the first time, its slots are taken; they are free when the request comes
// again.
type replica struct {
	id       string
	listener net.Listener
	record   *standin.Record
	// sendsSurplus makes the replica send a second answer after each 503, in the place of the
	// next answer that is due on the connection.
	sendsSurplus bool
	// turnedAway is shared by all replicas: the requests that a replica has turned away, by
	// replica and id. runs are the runs at all replicas.
	shared *shared
}

// shared is what all replicas keep together.
type shared struct {
	mutex      sync.Mutex
	turnedAway map[run]bool
	runs       []run
}

// runsOf returns the replicas that ran a request.
func (s *shared) runsOf(id string) []string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var replicas []string
	for _, ran := range s.runs {
		if ran.id == id {
			replicas = append(replicas, ran.replica)
		}
	}
	return replicas
}

// isBusy reports whether the slots of all replicas are taken when a request arrives.
func isBusy(id string) bool { return id[len(id)-1]%busyEvery == 0 }

// admit reports whether a request may begin, and records the run.
func (s *shared) admit(arrived run) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if isBusy(arrived.id) && !s.turnedAway[arrived] {
		s.turnedAway[arrived] = true
		return false
	}
	s.runs = append(s.runs, arrived)
	return true
}

func (r *replica) serve() {
	for {
		connection, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.serveConnection(connection)
	}
}

// serveConnection answers the requests of one connection, one after the other.
func (r *replica) serveConnection(connection net.Conn) {
	defer connection.Close()
	reader := bufio.NewReader(connection)
	surplus := ""
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		id := request.Header.Get("Pathtally-Request-Id")
		if expected := request.Header.Get("Pathtally-Expect-Instance"); expected != r.id {
			io.WriteString(connection, answer(http.StatusMisdirectedRequest, id, "Pathtally-Instance-Id: "+r.id))
			continue
		}
		if surplus != "" {
			r.record.Add("replica %s sends a surplus answer, of an earlier request on the connection", r.id)
			io.WriteString(connection, surplus)
			surplus = ""
		}
		if !r.shared.admit(run{r.id, id}) {
			r.record.Add("request %s reaches replica %s, which is full: 503, not run", id, r.id)
			full := answer(http.StatusServiceUnavailable, id, "Pathtally-Not-Executed: 1")
			io.WriteString(connection, full)
			if r.sendsSurplus {
				surplus = full
			}
			continue
		}
		r.record.Add("request %s reaches replica %s, which runs it", id, r.id)
		err = r.stream(connection, id)
		r.record.Add("replica %s has run request %s, error %v", r.id, id, err)
		if err != nil {
			return
		}
	}
}

// stream sends the events of a request.
func (r *replica) stream(connection net.Conn, id string) error {
	head := "HTTP/1.1 200 OK\r\nPathtally-Request-Id: " + id + "\r\nPathtally-Server-Stamp: " + r.id + "." + id +
		"\r\nPathtally-Weight-Versions: 1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	if _, err := io.WriteString(connection, head); err != nil {
		return err
	}
	for event := range events {
		time.Sleep(eventInterval)
		text := fmt.Sprintf("id: %d\ndata: %s-%d\n\n", event+1, id, event+1)
		if _, err := fmt.Fprintf(connection, "%x\r\n%s\r\n", len(text), text); err != nil {
			return err
		}
	}
	_, err := io.WriteString(connection, "0\r\n\r\n")
	return err
}

// answer returns a whole answer without a body, with one more header.
func answer(status int, id, header string) string {
	return fmt.Sprintf("HTTP/1.1 %d %s\r\nPathtally-Request-Id: %s\r\n%s\r\nContent-Length: 0\r\n\r\n", status, http.StatusText(status), id, header)
}
