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

// ReadHead reads the head of the response to a request with a method. It skips informational (1xx)
// responses other than 101. The error is an *InvalidStatusError or an *InvalidFieldNameError if net/http
// accepts a head that is invalid.
func ReadHead(reader *bufio.Reader, method string) (*http.Response, error) {
	for {
		response, err := http.ReadResponse(reader, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if err := validate(response); err != nil {
			return nil, err
		}
		if response.StatusCode >= http.StatusOK || response.StatusCode == http.StatusSwitchingProtocols {
			return response, nil
		}
	}
}

// validate returns an error for a head that net/http accepts although it is invalid.
func validate(response *http.Response) error {
	if response.StatusCode < minStatus || response.StatusCode > maxStatus {
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
