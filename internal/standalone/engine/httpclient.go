package engine

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net"
	"time"

	"github.com/panjf2000/ants/v2"
	"github.com/valyala/fasthttp"
	"k8s.io/klog/v2"

	"github.com/pathtally/pathtally/internal/httpconn"
)

const (
	dialTimeout   = 500 * time.Millisecond
	statusTimeout = 800 * time.Millisecond
	orderTimeout  = 3 * time.Second
	// streamGrace is added to a stream's deadline before its connection is
	// given up.
	streamGrace = 2 * time.Second
	// idleConnection is shorter than engines keep idle connections, so that a
	// request is not sent on one that is just being closed.
	idleConnection = 2 * time.Second
	// poolSize bounds the streams and calls open at the same time.
	poolSize = 16384
	// maxEventBytes bounds one event of a stream.
	maxEventBytes = 4 << 20
)

// HTTPClient reaches engines over HTTP. Callbacks run on goroutines of its
// worker pool. It is safe for use by many goroutines.
type HTTPClient struct {
	client *fasthttp.Client
	pool   *ants.Pool
}

// NewHTTPClient returns a client with its own worker pool.
func NewHTTPClient() (*HTTPClient, error) {
	pool, err := ants.NewPool(poolSize, ants.WithNonblocking(true))
	if err != nil {
		return nil, &Error{Kind: NotSent, Detail: "worker pool", Cause: err}
	}
	client := &fasthttp.Client{
		StreamResponseBody:        true,
		MaxConnsPerHost:           poolSize,
		MaxIdleConnDuration:       idleConnection,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		Dial:                      httpconn.Dial(func(address string) (net.Conn, error) { return fasthttp.DialTimeout(address, dialTimeout) }),
	}
	return &HTTPClient{client: client, pool: pool}, nil
}

// Close ends the worker pool.
func (c *HTTPClient) Close() { c.pool.Release() }

// Running is the number of workers at work.
func (c *HTTPClient) Running() int { return c.pool.Running() }

// Start implements Client, except that the sink runs on a pool goroutine.
func (c *HTTPClient) Start(address string, request Request, sink func(Event)) (cancel func()) {
	err := c.pool.Submit(func() { c.stream(address, request, sink) })
	if err != nil {
		sink(&Error{Kind: NotSent, Address: address, Detail: "worker pool full", Cause: err})
		return func() {}
	}
	return func() { c.tell(address, PathCancel, request.ID) }
}

// Export implements Client.
func (c *HTTPClient) Export(address, id string) { c.tell(address, PathExport, id) }

// tell posts a stream's name without waiting for the answer.
func (c *HTTPClient) tell(address, path, id string) {
	err := c.pool.Submit(func() {
		var ignored struct{}
		logNotSent(c.post(address, path, NameBody{ID: id}, orderTimeout, &ignored), address, path, id)
	})
	logNotSent(err, address, path, id)
}

// logNotSent logs why an engine may not have received something, if it may not.
func logNotSent(err error, address, path, id string) {
	if err != nil {
		klog.Background().V(1).Info("engine not told", "address", address, "path", path, "id", id, "error", err.Error())
	}
}

// Order implements Client, except that done runs on a pool goroutine.
func (c *HTTPClient) Order(address string, order Order, done func(Status, error)) {
	err := c.pool.Submit(func() {
		var status Status
		err := c.post(address, PathOrders, order, orderTimeout, &status)
		done(status, err)
	})
	if err != nil {
		done(Status{}, &Error{Kind: NotSent, Address: address, Detail: "worker pool full", Cause: err})
	}
}

// Status implements Client, except that done runs on a pool goroutine.
func (c *HTTPClient) Status(address string, done func(Status, error)) {
	err := c.pool.Submit(func() {
		var status Status
		err := c.get(address, PathStatus, &status)
		done(status, err)
	})
	if err != nil {
		done(Status{}, &Error{Kind: NotSent, Address: address, Detail: "worker pool full", Cause: err})
	}
}

func (c *HTTPClient) get(address, path string, into any) error {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + address + path)
	return c.exchange(address, request, response, statusTimeout, into)
}

func (c *HTTPClient) post(address, path string, body any, timeout time.Duration, into any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return &Error{Kind: NotSent, Address: address, Detail: "encode", Cause: err}
	}
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + address + path)
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetBody(data)
	return c.exchange(address, request, response, timeout, into)
}

func (c *HTTPClient) exchange(address string, request *fasthttp.Request, response *fasthttp.Response, timeout time.Duration, into any) error {
	if err := c.client.DoTimeout(request, response, timeout); err != nil {
		return sendError(address, err)
	}
	body, err := readAll(response)
	if err != nil {
		return &Error{Kind: Broken, Address: address, Detail: "answer", Cause: err}
	}
	if response.StatusCode() != fasthttp.StatusOK {
		return refusal(address, response.StatusCode(), body)
	}
	if len(body) == 0 {
		return nil
	}
	if err := json.Unmarshal(body, into); err != nil {
		return &Error{Kind: Invalid, Address: address, Detail: "answer", Cause: err}
	}
	return nil
}

func readAll(response *fasthttp.Response) ([]byte, error) {
	if response.BodyStream() == nil {
		return response.Body(), nil
	}
	return io.ReadAll(io.LimitReader(response.BodyStream(), maxEventBytes))
}

// sendError tells whether anything can have left this node.
func sendError(address string, err error) *Error {
	var operation *net.OpError
	dialFailed := errors.As(err, &operation) && operation.Op == "dial"
	if dialFailed || errors.Is(err, fasthttp.ErrNoFreeConns) || errors.Is(err, fasthttp.ErrDialTimeout) {
		return &Error{Kind: NotSent, Address: address, Detail: "connect", Cause: err}
	}
	return &Error{Kind: Broken, Address: address, Detail: "exchange", Cause: err}
}

// refusal reads an engine's error. Only an answer in the engine's own form
// counts as a refusal before admission; any other may come from something in
// between and says nothing about the request.
func refusal(address string, code int, body []byte) *Error {
	var reason ErrorBody
	if err := json.Unmarshal(body, &reason); err != nil || reason.Reason == "" {
		return &Error{Kind: Broken, Address: address, Detail: "answer " + fasthttp.StatusMessage(code), Cause: err}
	}
	return &Error{Kind: Refused, Address: address, Detail: reason.Reason, RetryAfter: time.Duration(reason.RetryAfterMillis) * time.Millisecond}
}

// stream sends a request and hands its events to the sink until the last one.
func (c *HTTPClient) stream(address string, request Request, sink func(Event)) {
	data, err := json.Marshal(bodyOf(request))
	if err != nil {
		sink(&Error{Kind: NotSent, Address: address, Detail: "encode", Cause: err})
		return
	}
	call, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(call)
	defer fasthttp.ReleaseResponse(response)
	call.SetRequestURI("http://" + address + PathCompletions)
	call.Header.SetMethod(fasthttp.MethodPost)
	call.Header.SetContentType("application/json")
	call.SetBody(data)
	if err := c.client.DoDeadline(call, response, request.Deadline.Add(streamGrace)); err != nil {
		sink(sendError(address, err))
		return
	}
	defer response.CloseBodyStream()
	if response.StatusCode() != fasthttp.StatusOK {
		body, err := readAll(response)
		if err != nil {
			klog.Background().V(1).Info("refusal of an engine not read whole", "address", address, "status", response.StatusCode(), "error", err.Error())
		}
		sink(refusal(address, response.StatusCode(), body))
		return
	}
	readEvents(address, response, sink)
}

func bodyOf(request Request) CompletionBody {
	return CompletionBody{
		Model:          request.Model,
		Prompt:         request.Prompt,
		MaxTokens:      request.MaxTokens,
		Stream:         true,
		Seed:           request.Seed,
		RequestID:      request.ID,
		Priority:       request.Priority,
		ChunkTokens:    request.ChunkTokens,
		Resume:         request.Resume,
		ResumeTokens:   request.ResumeTokens,
		KVSource:       request.KVSource,
		KVHandle:       request.KVHandle,
		DeadlineMillis: request.Deadline.UnixMilli(),
	}
}

var dataPrefix = []byte("data: ")

// readEvents reads server-sent events up to the one that closes the stream.
func readEvents(address string, response *fasthttp.Response, sink func(Event)) {
	var source io.Reader = bytes.NewReader(response.Body())
	if response.BodyStream() != nil {
		source = response.BodyStream()
	}
	scanner := bufio.NewScanner(source)
	scanner.Buffer(make([]byte, 0, 4096), maxEventBytes)
	for scanner.Scan() {
		line, isData := bytes.CutPrefix(scanner.Bytes(), dataPrefix)
		if !isData {
			continue
		}
		var body ChunkBody
		if err := json.Unmarshal(line, &body); err != nil {
			sink(&Error{Kind: Invalid, Address: address, Detail: "event", Cause: err})
			return
		}
		if deliver(body, sink) {
			return
		}
	}
	sink(&Error{Kind: Broken, Address: address, Detail: "stream ended without its end", Cause: scanner.Err()})
}

// deliver hands on what one event holds and tells whether it closed the stream.
func deliver(body ChunkBody, sink func(Event)) bool {
	if body.Count > 0 {
		sink(Chunk{First: body.First, Count: body.Count, Text: body.Text, Version: body.Version})
	}
	if body.Moved != nil {
		sink(Moved{KVSource: body.Moved.Source, KVHandle: body.Moved.Handle})
		return true
	}
	if body.FinishReason != "" {
		sink(End{Tokens: body.Tokens, Digest: body.Digest, Reason: body.FinishReason})
		return true
	}
	return false
}
