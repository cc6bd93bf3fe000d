package objectapi

import (
	"encoding/json"
	"fmt"
	"net"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/panjf2000/ants/v2"
	"github.com/valyala/fasthttp"

	"github.com/pathtally/pathtally/internal/environment"
	"github.com/pathtally/pathtally/internal/httpconn"
)

const (
	callTimeout = 2 * time.Second
	// watchGrace is added to a watch's wait before it is given up.
	watchGrace = 2 * time.Second
	poolSize   = 256
)

// Client implements environment.Objects and environment.Machines over HTTP.
// Callbacks run through the post function.
type Client struct {
	address string
	client  *fasthttp.Client
	pool    *ants.Pool
	post    func(func())
}

// NewClient returns a client for a platform's address.
func NewClient(address string, post func(func())) (*Client, error) {
	pool, err := ants.NewPool(poolSize, ants.WithNonblocking(true))
	if err != nil {
		return nil, merry.Wrap(err)
	}
	client := &fasthttp.Client{
		MaxIdemponentCallAttempts: 1,
		MaxConnsPerHost:           poolSize,
		Dial:                      httpconn.Dial(func(address string) (net.Conn, error) { return fasthttp.DialTimeout(address, callTimeout) }),
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}
	return &Client{address: address, client: client, pool: pool, post: post}, nil
}

// Close ends the worker pool.
func (c *Client) Close() { c.pool.Release() }

// Get implements environment.Objects.
func (c *Client) Get(name string, done func(environment.Object, error)) {
	c.submit(func() {
		var body ObjectBody
		err := c.call(fasthttp.MethodGet, PathObjects+name, nil, callTimeout, &body)
		c.post(func() { done(environment.Object(body), err) })
	}, func(err error) { done(environment.Object{}, err) })
}

// Put implements environment.Objects.
func (c *Client) Put(name string, data []byte, ifVersion uint64, done func(environment.Object, error)) {
	path := fmt.Sprintf("%s%s?%s=%d", PathObjects, name, ParamIfVersion, ifVersion)
	c.submit(func() {
		var body ObjectBody
		err := c.call(fasthttp.MethodPut, path, data, callTimeout, &body)
		c.post(func() { done(environment.Object(body), err) })
	}, func(err error) { done(environment.Object{}, err) })
}

// Watch implements environment.Objects.
func (c *Client) Watch(names []string, from uint64, wait time.Duration, done func([]environment.Object, uint64, error)) {
	path := fmt.Sprintf("%s?%s=%d&%s=%d&%s=%s", PathWatch, ParamFrom, from, ParamWaitMs, wait.Milliseconds(), ParamNames, strings.Join(names, ","))
	c.submit(func() {
		var body WatchBody
		err := c.call(fasthttp.MethodGet, path, nil, wait+watchGrace, &body)
		objects := make([]environment.Object, len(body.Objects))
		for i, object := range body.Objects {
			objects[i] = environment.Object(object)
		}
		c.post(func() { done(objects, body.Next, err) })
	}, func(err error) { done(nil, 0, err) })
}

// List implements environment.Machines.
func (c *Client) List(done func([]environment.Machine, uint64, error)) {
	c.submit(func() {
		var body MachinesBody
		err := c.call(fasthttp.MethodGet, PathMachines, nil, callTimeout, &body)
		c.post(func() { done(body.Machines, body.Version, err) })
	}, func(err error) { done(nil, 0, err) })
}

func (c *Client) submit(work func(), failed func(error)) {
	if err := c.pool.Submit(work); err != nil {
		c.post(func() { failed(merry.Wrap(environment.ErrObjectsUnavailable, merry.WithCause(err))) })
	}
}

func (c *Client) call(method, path string, data []byte, timeout time.Duration, into any) error {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + c.address + path)
	request.Header.SetMethod(method)
	request.SetBody(data)
	if err := c.client.DoTimeout(request, response, timeout); err != nil {
		return merry.Wrap(environment.ErrObjectsUnavailable, merry.WithCause(err))
	}
	switch response.StatusCode() {
	case fasthttp.StatusOK:
	case fasthttp.StatusNotFound:
		return merry.Wrap(environment.ErrObjectNotFound)
	case fasthttp.StatusConflict:
		return merry.Wrap(environment.ErrObjectConflict)
	case fasthttp.StatusGone:
		return merry.Wrap(environment.ErrVersionTooOld)
	default:
		return merry.Wrap(environment.ErrObjectsUnavailable, merry.WithMessagef("object API answered %d", response.StatusCode()))
	}
	if err := json.Unmarshal(response.Body(), into); err != nil {
		return merry.Wrap(environment.ErrObjectsUnavailable, merry.WithCause(err))
	}
	return nil
}
