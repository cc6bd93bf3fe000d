package forward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/pathtally/pathtally/internal/callers/dispatch"
	"github.com/pathtally/pathtally/internal/callers/exchange"
	"github.com/pathtally/pathtally/internal/replicas/routing"
)

const (
	// initialBodyBytes is the initial buffer size for a body whose length is unknown
	// or at least maxPreallocatedBytes.
	initialBodyBytes = 4 << 10
	// maxResponseBytes is the maximum size of a buffered response body.
	maxResponseBytes = 64 << 20
	// maxPreallocatedBytes is the Content-Length below which the buffer is allocated
	// in one piece.
	maxPreallocatedBytes = 1 << 20
	// maxUnreservedBytes is the part of a buffer that needs no budget, so that responses of the
	// usual size are read also while large ones use it up.
	maxUnreservedBytes = 16 << 10
)

// BufferedResponse is a replica's response with its complete body.
type BufferedResponse struct {
	Response *dispatch.Response
	Body     []byte
	// Failures is the number of responses with status 500 to this request, including
	// this one.
	Failures int
	// Rejections is the number of attempts that certainly did not run the request.
	Rejections int

	reservation *reservation
}

// Release releases the memory that the body has reserved. It must be called once the body is no
// longer used. The receiver may be nil.
func (r *BufferedResponse) Release() {
	if r != nil && r.reservation != nil {
		r.reservation.close()
	}
}

// attempt sends a call to a replica and reads the complete response. It updates the
// endpoint's latency estimate and its count of consecutive failures.
func (f *Forwarder) attempt(ctx context.Context, endpoint *routing.Endpoint, call *dispatch.Call, held *reservation) (*BufferedResponse, error) {
	start := time.Now()
	response, err := f.config.Dispatcher.Send(ctx, endpoint, call)
	if err != nil {
		if ctx.Err() != nil {
			endpoint.State.Latency.ObserveAtLeast(time.Since(start))
		}
		return nil, err
	}
	body, err := readBody(response, held)
	if err != nil {
		if ctx.Err() == nil {
			endpoint.State.Failures.Add(1)
		}
		response.Discard()
		return nil, err
	}
	response.Close()
	if response.Status >= http.StatusBadRequest {
		endpoint.State.Latency.ObserveError(time.Since(start))
	} else {
		endpoint.State.Latency.Observe(time.Since(start))
	}
	endpoint.State.Failures.Store(0)
	return &BufferedResponse{Response: response, Body: body}, nil
}

// readBody reads the complete body. A body larger than maxResponseBytes, or one that exceeds
// the budget of all bodies, yields an *exchange.BrokenError. What it reserves stays reserved after a
// success.
func readBody(response *dispatch.Response, held *reservation) (body []byte, err error) {
	reserved := int64(0)
	defer func() {
		if err != nil {
			held.release(reserved)
		}
	}()
	for {
		if len(body) == cap(body) {
			step := growth(len(body), response.Length)
			if len(body)+step > maxUnreservedBytes {
				if !held.reserve(int64(step)) {
					return nil, &exchange.BrokenError{Address: response.Endpoint.Address, Cause: ErrResponseBudgetExhausted}
				}
				reserved += int64(step)
			}
			body = append(make([]byte, 0, len(body)+step), body...)
		}
		n, err := response.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) {
			return body, nil
		}
		if err != nil {
			return nil, err
		}
		if len(body) > maxResponseBytes {
			return nil, &exchange.BrokenError{Address: response.Endpoint.Address, Cause: ErrResponseTooLarge}
		}
	}
}

// growth returns by how many bytes a full buffer grows, given the length of the body or -1.
func growth(size int, length int64) int {
	if size == 0 && length >= 0 && length < maxPreallocatedBytes {
		return int(length) + 1
	}
	return max(initialBodyBytes, size)
}
