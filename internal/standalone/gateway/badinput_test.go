package gateway_test

import (
	"encoding/json"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/pathtally/pathtally/internal/standalone/devcluster"
	"github.com/pathtally/pathtally/internal/standalone/enginemodel"
)

type errorResponse struct {
	Error struct {
		Code  string `json:"code"`
		Param string `json:"param"`
	} `json:"error"`
}

// TestInvalidRequestErrors guards against wrong status, code or outcome for an
// invalid request, and against a node that stops serving after one.
func TestInvalidRequestErrors(t *testing.T) {
	cluster, err := devcluster.Start(devcluster.Config{Folder: "../../../examples/kotuku", Parameters: enginemodel.DefaultParameters(), Lengths: devcluster.DefaultLengths()})
	if err != nil {
		t.Fatal(err)
	}
	defer cluster.Close()
	address := cluster.Addresses()[0]
	long := strings.Repeat("word ", 5000)
	cases := []struct {
		name, path, body string
		headers          map[string]string
		status           int
		code             string
	}{
		{"malformed JSON", "/v1/completions", "{", nil, 400, "invalid_json"},
		{"wrong type", "/v1/completions", `{"model": 3}`, nil, 400, "invalid_json"},
		{"unknown model", "/v1/completions", `{"model":"x","prompt":"p"}`, nil, 404, "model_not_found"},
		{"empty prompt", "/v1/completions", `{"model":"booking-service"}`, nil, 400, "invalid_value"},
		{"two prompts", "/v1/completions", `{"model":"booking-service","prompt":["a","b"]}`, nil, 400, "invalid_json"},
		{"prompt past the context", "/v1/completions", `{"model":"booking-service","prompt":"` + long + `"}`, nil, 400, "context_length_exceeded"},
		{"max_tokens past the context", "/v1/completions", `{"model":"booking-service","prompt":"p","max_tokens":9999}`, nil, 400, "context_length_exceeded"},
		{"negative max_tokens", "/v1/completions", `{"model":"booking-service","prompt":"p","max_tokens":-1}`, nil, 400, "invalid_value"},
		{"several choices", "/v1/completions", `{"model":"booking-service","prompt":"p","n":2}`, nil, 400, "invalid_value"},
		{"body over the limit", "/v1/completions", `{"model":"booking-service","prompt":"` + strings.Repeat("x", 140000) + `"}`, nil, 413, "body_too_large"},
		{"unknown group", "/v1/completions", `{"model":"booking-service","prompt":"p"}`, map[string]string{"Pathtally-Group": "none"}, 404, "group_not_found"},
		{"group of another model", "/v1/completions", `{"model":"booking-service","prompt":"p"}`, map[string]string{"Pathtally-Group": "rider-drafts"}, 404, "group_not_found"},
		{"bad deadline", "/v1/completions", `{"model":"booking-service","prompt":"p"}`, map[string]string{"Pathtally-Deadline": "soon"}, 400, "invalid_value"},
		{"key too long", "/v1/completions", `{"model":"booking-service","prompt":"p"}`, map[string]string{"Idempotency-Key": strings.Repeat("k", 300)}, 400, "invalid_value"},
		{"chat without messages", "/v1/chat/completions", `{"model":"booking-service"}`, nil, 400, "invalid_value"},
		{"unknown path", "/v1/none", `{}`, nil, 404, "not_found"},
		{"unknown trainer", "/v1/trainers/none/steps/1", `{}`, nil, 404, "unknown_trainer"},
		{"step that is not a number", "/v1/trainers/drafts/steps/x", `{}`, nil, 400, "invalid_value"},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			status, headers, body := post(t, address, test.path, test.body, test.headers)
			var got errorResponse
			if err := json.Unmarshal(body, &got); err != nil {
				t.Fatalf("response is not a JSON error: %s", body)
			}
			if status != test.status || got.Error.Code != test.code || headers["Pathtally-Outcome"] != "not-run" {
				t.Errorf("unexpected error response: status %d, code %s, outcome %q", status, got.Error.Code, headers["Pathtally-Outcome"])
			}
		})
	}
	t.Run("deadline too short", func(t *testing.T) {
		status, headers, _ := post(t, address, "/v1/completions", `{"model":"booking-service","prompt":"p","max_tokens":48}`, map[string]string{"Pathtally-Deadline": "3ms"})
		if status != 504 && status != 429 || headers["Retry-After"] == "" {
			t.Errorf("unexpected response past the deadline: status %d, Retry-After %q", status, headers["Retry-After"])
		}
	})
	t.Run("half-closed connection gets a response", func(t *testing.T) { testHalfClosed(t, address) })
	if status, _, _ := post(t, address, "/v1/completions", `{"model":"booking-service","prompt":"p","max_tokens":2}`, nil); status != 200 {
		t.Errorf("valid request after the invalid ones failed with status %d", status)
	}
}

func post(t *testing.T, address, path, body string, headers map[string]string) (int, map[string]string, []byte) {
	t.Helper()
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	request.SetRequestURI("http://" + address + path)
	request.Header.SetMethod(fasthttp.MethodPost)
	for name, value := range headers {
		request.Header.Set(name, value)
	}
	request.SetBodyString(body)
	if err := fasthttp.DoTimeout(request, response, 10*time.Second); err != nil {
		t.Fatal(err)
	}
	found := map[string]string{}
	for _, name := range []string{"Pathtally-Outcome", "Retry-After"} {
		found[name] = string(response.Header.Peek(name))
	}
	return response.StatusCode(), found, response.Body()
}

func testHalfClosed(t *testing.T, address string) {
	connection, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer connection.Close()
	body := `{"model":"booking-service","prompt":"half","max_tokens":2}`
	fmt.Fprintf(connection, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	if err := connection.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	if err := connection.SetReadDeadline(time.Now().Add(10 * time.Second)); err != nil {
		t.Fatal(err)
	}
	buffer := make([]byte, 64)
	count, err := connection.Read(buffer)
	if err != nil || !strings.HasPrefix(string(buffer[:count]), "HTTP/1.1 200") {
		t.Errorf("half-closed connection: read %q, error %v", buffer[:count], err)
	}
}
