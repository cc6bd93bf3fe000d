package test

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"testing"
)

// rawReplica is a replica of which a test writes the bytes of each response.
type rawReplica struct{ id, address string }

// startRawReplica starts a replica. respond writes the response to a request, and returns whether
// the connection is kept open.
func startRawReplica(t *testing.T, id string, respond func(connection net.Conn, request *http.Request) bool) *rawReplica {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go serveRaw(connection, respond)
		}
	}()
	return &rawReplica{id: id, address: listener.Addr().String()}
}

// serveRaw responds to the requests of a connection.
func serveRaw(connection net.Conn, respond func(connection net.Conn, request *http.Request) bool) {
	defer connection.Close()
	reader := bufio.NewReader(connection)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		request.Body = io.NopCloser(bytes.NewReader(body))
		if !respond(connection, request) {
			return
		}
	}
}

// entry returns the replica's entry in the metadata store.
func (r *rawReplica) entry(service, zone string) map[string]any {
	return map[string]any{
		"service": service, "address": r.address, "zone": zone, "version": "v1", "slots": 64, "state": "ready",
		"stage": "both", "models": []map[string]any{{"name": draftModel, "version": 1, "adapters": []string{}}},
	}
}
