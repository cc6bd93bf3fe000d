package engine

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	v1 "github.com/pathtally/pathtally/api/v1"
	protocol "github.com/pathtally/pathtally/internal/standalone/engine"
	"github.com/pathtally/pathtally/internal/standalone/enginemodel"
)

// slowEngine is an engine that takes seconds to the first token of a prompt, so
// that a drain strikes a request that has been admitted and has made nothing.
func slowEngine(t *testing.T) *Server {
	t.Helper()
	parameters := enginemodel.DefaultParameters()
	parameters.PrefillPerToken = v1.Duration(time.Second)
	started, err := Start("127.0.0.1:0", Config{Parameters: parameters, Version: 1})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(started.Close)
	return started
}

// post sends a request for a completion. The engine answers with its first
// event, so the returned function waits for all that it streams.
func post(t *testing.T, engine *Server, body protocol.CompletionBody) (whole func() string) {
	t.Helper()
	encoded, err := json.Marshal(body)
	if err != nil {
		t.Fatal(err)
	}
	said := make(chan string, 1)
	go func() {
		defer close(said)
		response, err := http.Post("http://"+engine.Address()+protocol.PathCompletions, "application/json", bytes.NewReader(encoded))
		if err != nil {
			return
		}
		defer response.Body.Close()
		if read, err := io.ReadAll(response.Body); err == nil {
			said <- string(read)
		}
	}()
	return func() string { return <-said }
}

// runsBecome waits until a number of runs has been counted.
func runsBecome(t *testing.T, want int, count func() int) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); count() < want && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	if runs := count(); runs != want {
		t.Fatalf("%d runs, want %d", runs, want)
	}
}

// A request that is handed over before its first token has been admitted twice
// and runs once; a second engine that takes the same hand-over runs it again.
func TestHandOverBeforeTheFirstTokenIsOneRun(t *testing.T) {
	const prompt = "a prompt of several words that takes its time"
	source, target := slowEngine(t), slowEngine(t)
	first := post(t, source, protocol.CompletionBody{RequestID: "r.1", Prompt: prompt, MaxTokens: 4})
	runsBecome(t, 1, func() int { return source.Runs(prompt) })
	source.Drain(0)
	said := first()
	var moved protocol.ChunkBody
	if err := json.Unmarshal([]byte(strings.TrimPrefix(strings.TrimSpace(said), "data: ")), &moved); err != nil || moved.Moved == nil {
		t.Fatalf("the drained engine said %q, %v", said, err)
	}
	both := func() int { return source.Runs(prompt) + target.Runs(prompt) }
	// take hands the request over to the target and returns what waits for its answer.
	take := func(id string) (whole func() string) {
		return post(t, target, protocol.CompletionBody{
			RequestID: id, Prompt: prompt, MaxTokens: 4, KVSource: moved.Moved.Source, KVHandle: moved.Moved.Handle,
		})
	}
	// With the cache taken over the run lasts for some milliseconds only.
	if said := take("r.2")(); !strings.Contains(said, "finish_reason") {
		t.Fatalf("the target said %q", said)
	}
	runsBecome(t, 1, both)
	take("r.3")
	runsBecome(t, 2, both)
}
