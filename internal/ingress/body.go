package ingress

import (
	"errors"
	"io"
	"net/http"

	"github.com/ansel1/merry/v2"
)

var (
	// ErrBodyTooLarge means that a body is over the limit in force.
	ErrBodyTooLarge = merry.Sentinel("body is over the limit")
	// ErrBodyBroken means that the caller did not send the whole body.
	ErrBodyBroken = merry.Sentinel("body is not whole")
)

// readBody reads a whole body of at most a number of bytes; 0 for no bound.
func readBody(request *http.Request, limit int64) ([]byte, error) {
	if request.Body == nil || request.Body == http.NoBody {
		return nil, nil
	}
	if limit > 0 && request.ContentLength > limit {
		return nil, ErrBodyTooLarge
	}
	var reader io.Reader = request.Body
	if limit > 0 {
		reader = io.LimitReader(reader, limit+1)
	}
	if request.ContentLength >= 0 {
		body := make([]byte, request.ContentLength)
		if _, err := io.ReadFull(reader, body); err != nil {
			return nil, merry.Wrap(ErrBodyBroken, merry.WithCause(err))
		}
		return body, nil
	}
	body, err := io.ReadAll(reader)
	if err != nil && !errors.Is(err, io.EOF) {
		return nil, merry.Wrap(ErrBodyBroken, merry.WithCause(err))
	}
	if limit > 0 && int64(len(body)) > limit {
		return nil, ErrBodyTooLarge
	}
	return body, nil
}
