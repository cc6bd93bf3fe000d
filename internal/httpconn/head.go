package httpconn

import (
	"bufio"
	"net/http"
)

// Range of status codes (RFC 9110, section 15).
const (
	minStatus = 100
	maxStatus = 599
)

// ReadHead reads the head of the response to a request with a method, which must not ask for an upgrade.
// It skips informational (1xx) responses. The error is an *InvalidStatusError or an
// *InvalidFieldNameError if net/http accepts a head that is invalid.
func ReadHead(reader *bufio.Reader, method string) (*http.Response, error) {
	for {
		response, err := http.ReadResponse(reader, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if err := validate(response); err != nil {
			return nil, err
		}
		if response.StatusCode >= http.StatusOK {
			return response, nil
		}
	}
}

// validate returns an error for a head that net/http accepts although it is invalid.
func validate(response *http.Response) error {
	// A server must not switch protocols unless the request asks for it (RFC 9110, section 15.2.2).
	if response.StatusCode < minStatus || response.StatusCode > maxStatus || response.StatusCode == http.StatusSwitchingProtocols {
		return &InvalidStatusError{Code: response.StatusCode}
	}
	// net/http accepts blanks in a name, but does not apply a field such as "Content-Length ".
	for name := range response.Header {
		if !IsToken(name) {
			return &InvalidFieldNameError{Name: name}
		}
	}
	return nil
}
