package test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
)

// rawReplica is a replica of which a test writes the bytes of each response.
type rawReplica struct {
	id       string
	listener net.Listener
}

// startRawReplica starts a replica. respond writes the response to a request; the connection is
// closed once it returns.
func startRawReplica(t *testing.T, id string, respond func(connection net.Conn, request *http.Request)) *rawReplica {
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
	return &rawReplica{id: id, listener: listener}
}

// serveRaw responds to the first request of a connection and closes it.
func serveRaw(connection net.Conn, respond func(connection net.Conn, request *http.Request)) {
	defer connection.Close()
	request, err := http.ReadRequest(bufio.NewReader(connection))
	if err != nil {
		return
	}
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		return
	}
	respond(connection, request)
}

// entry returns the replica's entry in the metadata store.
func (r *rawReplica) entry(service, zone string) map[string]any {
	return map[string]any{
		"service": service, "address": r.listener.Addr().String(), "zone": zone, "version": "v1", "slots": 64, "state": "ready",
		"stage": "both", "models": []map[string]any{{"name": draftModel, "version": 1, "adapters": []string{}}},
	}
}
