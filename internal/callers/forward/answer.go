package forward

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/pathtally/pathtally/internal/callers/dispatch"
	"github.com/pathtally/pathtally/internal/callers/exchange"
	"github.com/pathtally/pathtally/internal/replicas/routing"
)

const (
	// initialBodyBytes is the buffer for a body of unknown or great length.
	initialBodyBytes = 4 << 10
	// maxAnswerBytes bounds the body of one answer.
	maxAnswerBytes = 64 << 20
	// maxPreallocatedBytes is the announced length up to which the buffer is
	// made in one piece.
	maxPreallocatedBytes = 1 << 20
)

// BufferedAnswer is a replica's answer, read to its end.
type BufferedAnswer struct {
	Answer *dispatch.Answer
	Body   []byte
	// Failures counts the answers of status 500 to this request, this one
	// included.
	Failures int
	// Refusals counts the attempts at replicas that did not run the request.
	Refusals int
}

// attempt sends a call to a replica and reads its whole answer.
func (f *Forwarder) attempt(ctx context.Context, endpoint *routing.Endpoint, call *dispatch.Call) (*BufferedAnswer, error) {
	began := time.Now()
	answer, err := f.config.Dispatcher.Send(ctx, endpoint, call)
	if err != nil {
		if ctx.Err() != nil {
			endpoint.State.Latency.ObserveAtLeast(time.Since(began))
		}
		return nil, err
	}
	body, err := readBody(answer)
	if err != nil {
		if ctx.Err() == nil {
			endpoint.State.Failures.Add(1)
		}
		answer.Discard()
		return nil, err
	}
	answer.Close()
	endpoint.State.Latency.Observe(time.Since(began))
	endpoint.State.Failures.Store(0)
	return &BufferedAnswer{Answer: answer, Body: body}, nil
}

// readBody reads a body to its end. The error for a body over maxAnswerBytes is an
// *exchange.BrokenError.
func readBody(answer *dispatch.Answer) ([]byte, error) {
	size := initialBodyBytes
	if answer.Length >= 0 && answer.Length < maxPreallocatedBytes {
		size = int(answer.Length) + 1
	}
	body := make([]byte, 0, size)
	for {
		if len(body) == cap(body) {
			body = append(body, 0)[:len(body)]
		}
		count, err := answer.Read(body[len(body):cap(body)])
		body = body[:len(body)+count]
		if errors.Is(err, io.EOF) {
			return body, nil
		}
		if err != nil {
			return nil, err
		}
		if len(body) > maxAnswerBytes {
			return nil, &exchange.BrokenError{Address: answer.Endpoint.Address, Cause: ErrAnswerTooLong}
		}
	}
}
