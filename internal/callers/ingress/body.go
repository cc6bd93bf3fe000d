package ingress

import (
	"errors"
	"io"
	"net/http"

	"github.com/ansel1/merry/v2"

	"github.com/pathtally/pathtally/internal/callers/bytebudget"
)

var (
	// ErrBodyTooLarge means that a body exceeds the configured limit.
	ErrBodyTooLarge = merry.Sentinel("body is over the limit")
	// ErrBodyIncomplete means that the caller did not send the whole body.
	ErrBodyIncomplete = merry.Sentinel("request body is incomplete")
	// ErrBodyBudgetExhausted means that the bodies in progress leave too little of the memory
	// budget for bodies.
	ErrBodyBudgetExhausted = merry.Sentinel("no room for the body")
)

// minBodyGrowthBytes is the initial size of a body's buffer and the smallest step by which it
// grows; both are smaller if Content-Length is. Memory is reserved as data arrives, so a caller
// cannot reserve more than this by a large Content-Length alone.
const minBodyGrowthBytes = 16 << 10

// bodyReader reads request bodies within a limit for each body and a budget for all.
type bodyReader struct{ budget *bytebudget.Budget }

// read reads a whole body of at most limit bytes; 0 means no limit. The caller must call
// release, also after an error. The error is ErrBodyTooLarge, ErrBodyBudgetExhausted or
// ErrBodyIncomplete.
func (r *bodyReader) read(request *http.Request, limit int64) (body []byte, release func(), err error) {
	reserved := int64(0)
	release = func() { r.budget.Release(reserved) }
	if request.Body == nil || request.Body == http.NoBody {
		return nil, release, nil
	}
	if limit > 0 && request.ContentLength > limit {
		return nil, release, ErrBodyTooLarge
	}
	for {
		if len(body) == cap(body) {
			step := max(minBodyGrowthBytes, int64(len(body)))
			if request.ContentLength >= 0 {
				step = min(step, request.ContentLength+1-int64(len(body)))
			}
			if !r.budget.Reserve(step) {
				return nil, release, ErrBodyBudgetExhausted
			}
			reserved += step
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
			return nil, release, merry.Wrap(ErrBodyIncomplete, merry.WithCause(err))
		}
	}
}
