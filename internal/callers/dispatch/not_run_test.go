package dispatch

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/pathtally/pathtally/internal/callers/exchange"
	"github.com/pathtally/pathtally/internal/replicas/routing"
)

// idCodec is a header codec with the fields that the tests of this package need.
type idCodec struct{}

func (idCodec) Encode(http.Header, RequestMetadata) {}

func (idCodec) Decode(_ int, header http.Header) ResponseMetadata {
	return ResponseMetadata{RequestID: header.Get("X-Id"), Signed: header.Get("X-Signed") != "", NotRun: header.Get("X-Not-Run") != ""}
}

// faultyAction is what a faulty replica does with one request.
type faultyAction struct {
	// kind is one of the kinds below.
	kind string
	// repeat says when the response is sent once more, if at all.
	repeat string
}

var (
	faultyKinds   = []string{"turn away", "run", "run and fail", "run and cut", "cut", "run and answer another"}
	faultyRepeats = []string{"", "", "now", "with the next response", "after the next response"}
)

// faultyReplica performs a list of actions, one for each request that arrives.
type faultyReplica struct {
	mutex       sync.Mutex
	actions     []faultyAction
	ran         map[string]bool
	connections sync.WaitGroup
}

// next returns the next action, and records whether the send runs.
func (r *faultyReplica) next(send string) faultyAction {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	action := faultyAction{kind: "turn away"}
	if len(r.actions) > 0 {
		action, r.actions = r.actions[0], r.actions[1:]
	}
	if action.kind != "turn away" && action.kind != "cut" {
		r.ran[send] = true
	}
	return action
}

// serve handles the requests of one connection.
func (r *faultyReplica) serve(connection net.Conn) {
	defer r.connections.Done()
	defer connection.Close()
	reader := bufio.NewReader(connection)
	var before, after []string
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		id, send := request.Header.Get("X-Id"), request.Header.Get("X-Send")
		action := r.next(send)
		response := ""
		switch action.kind {
		case "turn away":
			response = faultyResponse(503, id, "X-Not-Run: 1", send)
		case "run":
			response = faultyResponse(200, id, "X-Signed: 1", send)
		case "run and fail":
			response = faultyResponse(500, id, "X-Signed: 1", send)
		case "run and answer another":
			response = faultyResponse(200, "another", "X-Signed: 1", send)
		default:
			return
		}
		text := ""
		for _, surplus := range before {
			text += surplus
		}
		text += response
		before, after = after, nil
		switch action.repeat {
		case "now":
			text += response
		case "with the next response":
			before = append(before, response)
		case "after the next response":
			after = append(after, response)
		}
		if _, err := io.WriteString(connection, text); err != nil {
			return
		}
	}
}

func faultyResponse(status int, id, header, send string) string {
	return fmt.Sprintf("HTTP/1.1 %d Status\r\nX-Id: %s\r\n%s\r\nContent-Length: %d\r\n\r\n%s", status, id, header, len(send), send)
}

// Guards against believing that a request has not run, or taking the response to another send, when
// a replica repeats, delays, cuts or mixes up responses.
func TestOutcomeIsThatOfTheSendItself(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		replica := &faultyReplica{ran: map[string]bool{}}
		replica.actions = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) faultyAction {
			return faultyAction{kind: rapid.SampledFrom(faultyKinds).Draw(t, "kind"), repeat: rapid.SampledFrom(faultyRepeats).Draw(t, "repeat")}
		}), 1, 24).Draw(t, "actions")
		ids := rapid.SliceOfN(rapid.IntRange(0, 3), len(replica.actions), len(replica.actions)).Draw(t, "ids")
		atMostOnce := rapid.Bool().Draw(t, "at most once")
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		accepted := make(chan struct{})
		go func() {
			defer close(accepted)
			for {
				connection, err := listener.Accept()
				if err != nil {
					return
				}
				replica.connections.Add(1)
				go replica.serve(connection)
			}
		}()
		pool := exchange.NewPool(nil)
		dispatcher := New(pool, idCodec{}, nil)
		endpoint := routing.NewReplicaEndpoint("one", listener.Addr().String(), "zone", "", "s", 1, routing.NewEndpointState())
		notRun := map[string]bool{}
		for number, id := range ids {
			send := fmt.Sprint(number)
			call := &Call{
				ID: fmt.Sprint(id), Method: http.MethodPost, Target: "/", Host: "host", Deadline: time.Now().Add(time.Minute), AtMostOnce: atMostOnce,
				Header: http.Header{"X-Id": {fmt.Sprint(id)}, "X-Send": {send}},
			}
			response, err := dispatcher.Send(t.Context(), endpoint, call)
			if err != nil {
				notRun[send] = !MayHaveRun(err)
				continue
			}
			body, err := io.ReadAll(response)
			response.Close()
			if err == nil && string(body) != send {
				t.Errorf("send %s got the response to send %s", send, body)
			}
		}
		// Closes the idle connections, so that all requests have been handled.
		pool.SetLimits(map[string]exchange.ConnectionLimits{})
		listener.Close()
		<-accepted
		replica.connections.Wait()
		for send, believed := range notRun {
			if believed && replica.ran[send] {
				t.Errorf("send %s is believed not to have run, and has run", send)
			}
		}
	})
}
