package standalone

import (
	"errors"
	"strings"
	"testing"

	"github.com/pathtally/pathtally/internal/environment"
	"github.com/pathtally/pathtally/internal/standalone/engine"
	"github.com/pathtally/pathtally/internal/standalone/objectapi"
	"github.com/pathtally/pathtally/internal/standalone/scorer"
	"github.com/pathtally/pathtally/standin/rawserver"
)

// longText is more than the buffers of two sockets hold while the server does not read.
const longText = 16 << 20

// post runs a callback of a client.
func post(callback func()) { callback() }

// sends are requests of the clients of the standalone stack, with a text in the body.
var sends = map[string]func(t *testing.T, address, text string) error{
	"object API": func(t *testing.T, address, text string) error {
		client, err := objectapi.NewClient(address, post)
		if err != nil {
			t.Fatal(err)
		}
		defer client.Close()
		done := make(chan error, 1)
		client.Put("one", []byte(text), 1, func(_ environment.Object, err error) { done <- err })
		return <-done
	},
	"engine": func(t *testing.T, address, text string) error {
		client, err := engine.NewHTTPClient()
		if err != nil {
			t.Fatal(err)
		}
		defer client.Close()
		done := make(chan error, 1)
		client.Order(address, engine.Order{Value: text}, func(_ engine.Status, err error) { done <- err })
		return <-done
	},
	"scorer": func(t *testing.T, address, text string) error {
		client, err := scorer.NewClient(post)
		if err != nil {
			t.Fatal(err)
		}
		defer client.Close()
		done := make(chan error, 1)
		client.Score("http://"+address+"/", []byte(text), func(_ float64, err error) { done <- err })
		return <-done
	},
}

// checkUnanswered sends a request of each client to a server that sends a response. The error must
// leave open whether the request took effect.
func checkUnanswered(t *testing.T, text string, respond rawserver.Respond) {
	t.Helper()
	for name, send := range sends {
		err := send(t, rawserver.Start(t, respond), text)
		var failed *engine.Error
		if err == nil || errors.As(err, &failed) && !failed.MayHaveRun() {
			t.Errorf("%s: error %v, want that the request may have taken effect", name, err)
		}
	}
}

// Shows that the requests of the tests below succeed with a valid response.
func TestResponseIsAccepted(t *testing.T) {
	for name, send := range sends {
		if err := send(t, rawserver.Start(t, rawserver.Text("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")), "text"); err != nil {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// Guards against taking what was sent before a reset for the response to a long request.
func TestResetResponseIsUnanswered(t *testing.T) {
	checkUnanswered(t, strings.Repeat("x", longText), rawserver.ResetAfter("HTTP/1.1 200 OK\r\n\r\n{}"))
}

// Guards against taking a response with an invalid status for a success.
func TestInvalidStatusIsUnanswered(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.1 000 Trouble\r\n",
		"HTTP/1.1 000 Trouble\r\n\r\nHTTP/1.1 200 OK\r\n",
	} {
		checkUnanswered(t, "text", rawserver.Text(head+"Content-Length: 2\r\n\r\n{}"))
	}
}

// Guards against taking a response with an invalid field name for a success.
func TestInvalidFieldNameIsUnanswered(t *testing.T) {
	for _, head := range []string{"X Name: value\r\nContent-Length: 2", "Content-Length : 2", "X\x01Name: value\r\nContent-Length: 2"} {
		checkUnanswered(t, "text", rawserver.Text("HTTP/1.1 200 OK\r\n"+head+"\r\n\r\n{}"))
	}
}
