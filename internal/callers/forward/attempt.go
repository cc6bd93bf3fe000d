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
	// bodyChunk is the least step in which bodies are read, in bytes.
	bodyChunk = 4 << 10
	// longestAnswer bounds the body of one answer, in bytes.
	longestAnswer = 64 << 20
	// exactBody is up to which named length, in bytes, a buffer is made at once.
	exactBody = 1 << 20
)

// attempt sends a call to a replica and reads its whole answer.
func (f *Forwarder) attempt(ctx context.Context, endpoint *routing.Endpoint, call *dispatch.Call) (*Whole, error) {
	began := time.Now()
	answer, err := f.config.Dispatcher.Send(ctx, endpoint, call)
	if err != nil {
		if ctx.Err() != nil {
			endpoint.State.Latency.ObserveAtLeast(time.Since(began))
		}
		return nil, err
	}
	body, err := readWhole(answer)
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
	return &Whole{Answer: answer, Body: body}, nil
}

// readWhole reads a body to its end.
func readWhole(answer *dispatch.Answer) ([]byte, error) {
	size := bodyChunk
	if answer.Length >= 0 && answer.Length < exactBody {
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
		if len(body) > longestAnswer {
			return nil, &exchange.BrokenError{Address: answer.Endpoint.Address, Cause: ErrAnswerTooLong}
		}
	}
}
