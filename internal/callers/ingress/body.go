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
	// ErrNoRoom means that the bodies in progress take all the memory set aside for
	// them.
	ErrNoRoom = merry.Sentinel("no room for the body")
)

// minBodyStepBytes is the room of a body before any of it has come, and the least step
// in which it grows: a caller that only announces a large body takes no memory for it.
const minBodyStepBytes = 16 << 10

// bodyReader reads bodies within a limit for each and a budget for all.
type bodyReader struct{ budget budget }

// read reads a whole body of at most limit bytes; 0 for no bound. The caller must call
// release, also after an error. The error is ErrBodyTooLarge, ErrNoRoom or
// ErrBodyBroken.
func (r *bodyReader) read(request *http.Request, limit int64) (body []byte, release func(), err error) {
	taken := int64(0)
	release = func() { r.budget.release(taken) }
	if request.Body == nil || request.Body == http.NoBody {
		return nil, release, nil
	}
	if limit > 0 && request.ContentLength > limit {
		return nil, release, ErrBodyTooLarge
	}
	for {
		if len(body) == cap(body) {
			step := max(minBodyStepBytes, int64(len(body)))
			if request.ContentLength >= 0 {
				step = min(step, request.ContentLength+1-int64(len(body)))
			}
			if !r.budget.reserve(step) {
				return nil, release, ErrNoRoom
			}
			taken += step
			body = append(make([]byte, 0, int64(len(body))+step), body...)
		}
		count, err := request.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+count]
		switch {
		case limit > 0 && int64(len(body)) > limit:
			return nil, release, ErrBodyTooLarge
		case errors.Is(err, io.EOF):
			return body, release, nil
		case err != nil:
			return nil, release, merry.Wrap(ErrBodyBroken, merry.WithCause(err))
		}
	}
}
