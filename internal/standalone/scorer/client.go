package scorer

import (
	"encoding/json"
	"fmt"
	"net"
	"time"

	"github.com/panjf2000/ants/v2"
	"github.com/valyala/fasthttp"

	"github.com/pathtally/pathtally/internal/httpconn"
)

const (
	callTimeout = 5 * time.Second
	poolSize    = 512
)

// ScoreBody is a scorer's answer.
type ScoreBody struct {
	Score float64 `json:"score"`
}

// Error is a sample that could not be judged.
type Error struct {
	URL   string
	Code  int
	Cause error
}

// Error names the scorer and the reason.
func (e *Error) Error() string {
	return fmt.Sprintf("scorer %s: status %d: %v", e.URL, e.Code, e.Cause)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Client posts samples to scorers over HTTP; callbacks run through the post
// function.
type Client struct {
	client *fasthttp.Client
	pool   *ants.Pool
	post   func(func())
}

// NewClient returns a client with its own worker pool.
func NewClient(post func(func())) (*Client, error) {
	pool, err := ants.NewPool(poolSize, ants.WithNonblocking(true))
	if err != nil {
		return nil, &Error{Cause: err}
	}
	client := &fasthttp.Client{
		MaxConnsPerHost: poolSize,
		Dial:            httpconn.Dial(func(address string) (net.Conn, error) { return fasthttp.DialTimeout(address, callTimeout) }),
	}
	return &Client{client: client, pool: pool, post: post}, nil
}

// Close ends the worker pool.
func (c *Client) Close() { c.pool.Release() }

// Score implements rollout.Scorer.
func (c *Client) Score(url string, sample []byte, done func(float64, error)) {
	err := c.pool.Submit(func() {
		score, err := c.score(url, sample)
		c.post(func() { done(score, err) })
	})
	if err != nil {
		c.post(func() { done(0, &Error{URL: url, Cause: err}) })
	}
}

func (c *Client) score(url string, sample []byte) (float64, error) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI(url)
	request.Header.SetMethod(fasthttp.MethodPost)
	request.Header.SetContentType("application/json")
	request.SetBody(sample)
	if err := c.client.DoTimeout(request, response, callTimeout); err != nil {
		return 0, &Error{URL: url, Cause: err}
	}
	var body ScoreBody
	if err := json.Unmarshal(response.Body(), &body); err != nil || response.StatusCode() != fasthttp.StatusOK {
		return 0, &Error{URL: url, Code: response.StatusCode(), Cause: err}
	}
	return body.Score, nil
}
