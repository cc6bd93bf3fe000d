package httpconn

import (
	"bufio"
	"errors"
	"net/http"
	"strings"
	"testing"
)

const validResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

func readHead(text string) (*http.Response, error) {
	return ReadHead(bufio.NewReader(strings.NewReader(text)), http.MethodGet)
}

// Guards against passing over a status below 100 like an informational one, and against statuses that
// HTTP does not have or that no request asks for.
func TestInvalidStatusIsAnError(t *testing.T) {
	for _, status := range []string{"000", "001", "050", "099", "+20", "-00", "101", "600", "999"} {
		response, err := readHead("HTTP/1.1 " + status + " Trouble\r\nContent-Length: 60\r\n\r\n" + validResponse)
		var invalid *InvalidStatusError
		if !errors.As(err, &invalid) {
			t.Errorf("%s: response %v, error %v, want an *InvalidStatusError", status, response, err)
		}
	}
}

// Guards against a field that one reader drops and another one applies.
func TestInvalidFieldNameIsAnError(t *testing.T) {
	const rest = ": 2\r\nContent-Length: 2\r\n\r\nok"
	for _, name := range []string{
		"X Name", "X-Name ", "X-Name  ", "Content-Length ", "Transfer-Encoding ", "Connection ", "X-Name\t", "X\x01Name", "X\x00Name", "X\x7fName",
		"X\xe9Name", "X(Name", "",
	} {
		for _, head := range []string{"HTTP/1.1 200 OK\r\n" + name + rest, "HTTP/1.1 103 Early Hints\r\n" + name + ": 2\r\n\r\n" + validResponse} {
			if response, err := readHead(head); err == nil {
				t.Errorf("%q: response %v, want an error", head, response)
			}
		}
	}
	_, err := readHead("HTTP/1.1 200 OK\r\nX Name" + rest)
	var invalid *InvalidFieldNameError
	if !errors.As(err, &invalid) || invalid.Name != "X Name" {
		t.Errorf("error %v, want an *InvalidFieldNameError", err)
	}
}

func TestValidHeadIsRead(t *testing.T) {
	for text, status := range map[string]int{
		validResponse: 200,
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" + validResponse: 200,
		"HTTP/1.1 599 Trouble\r\n\r\n":            599,
		"HTTP/1.0 404\r\nX: a\r\n folded\r\n\r\n": 404,
	} {
		if response, err := readHead(text); err != nil || response.StatusCode != status {
			t.Errorf("%q: response %v, error %v, want status %d", text, response, err, status)
		}
	}
}
