package command

import (
	"errors"
	"testing"

	"github.com/pathtally/pathtally/standin/rawserver"
)

// Guards against taking a response with an invalid status for the status of a node.
func TestInvalidResponseIsNoNodeStatus(t *testing.T) {
	const rest = "\r\nContent-Length: 2\r\n\r\n{}"
	if _, err := nodeStatus(rawserver.Start(t, rawserver.Text("HTTP/1.1 200 OK"+rest))); err != nil {
		t.Errorf("valid response: %v", err)
	}
	var failed *StatusError
	if _, err := nodeStatus(rawserver.Start(t, rawserver.Text("HTTP/1.1 000 Trouble"+rest))); !errors.As(err, &failed) {
		t.Errorf("error %v, want a *StatusError", err)
	}
}
