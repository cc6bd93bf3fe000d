package gateway

import (
	"encoding/json"
	"errors"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/pathtally/pathtally/internal/standalone/node"
	"github.com/pathtally/pathtally/internal/standalone/rollout"
)

const (
	trainerPrefix = "/v1/trainers/"
	// maxFetchWait bounds a trainer's long poll.
	maxFetchWait     = 30 * time.Second
	paramWait        = "wait"
	paramTrain       = "train_version"
	actionAck        = "ack"
	stepPathParts    = 3
	ackPathParts     = 4
	fetchRetryAfter  = 100 * time.Millisecond
	codeStepNotReady = "step_not_ready"
)

// trainer serves /v1/trainers/NAME/steps/N and .../ack.
func (s *Server) trainer(ctx *fasthttp.RequestCtx, path string) {
	parts := strings.Split(path, "/")
	if len(parts) < stepPathParts || parts[1] != "steps" {
		s.writeFailure(ctx, failureOf(&InputError{Status: fasthttp.StatusNotFound, Code: codeNotFound, Message: "expected " + trainerPrefix + "NAME/steps/N"}), OutcomeNotRun)
		return
	}
	step, err := strconv.ParseUint(parts[2], 10, 64)
	if err != nil {
		s.writeFailure(ctx, failureOf(&InputError{Status: fasthttp.StatusBadRequest, Code: codeInvalidValue, Param: "step", Message: "the step must be a number"}), OutcomeNotRun)
		return
	}
	switch {
	case len(parts) == ackPathParts && parts[3] == actionAck && ctx.IsPost():
		s.acknowledge(ctx, parts[0], step)
	case len(parts) == stepPathParts && ctx.IsPost():
		s.submit(ctx, parts[0], step)
	case len(parts) == stepPathParts && ctx.IsGet():
		s.fetch(ctx, parts[0], step)
	default:
		s.writeFailure(ctx, failureOf(&InputError{Status: fasthttp.StatusMethodNotAllowed, Code: codeNotFound, Message: "POST submits or acknowledges, GET fetches"}), OutcomeNotRun)
	}
}

func (s *Server) submit(ctx *fasthttp.RequestCtx, trainer string, step uint64) {
	var body rollout.StepRequest
	if err := json.Unmarshal(ctx.PostBody(), &body); err != nil {
		s.writeFailure(ctx, failureOf(&InputError{Status: fasthttp.StatusBadRequest, Code: codeInvalidJSON, Message: err.Error()}), OutcomeNotRun)
		return
	}
	body.Step = step
	results := make(chan error, 1)
	s.config.Trainers.Submit(trainer, body, func(err error) { results <- err })
	s.writeTrainerError(ctx, <-results)
}

func (s *Server) acknowledge(ctx *fasthttp.RequestCtx, trainer string, step uint64) {
	results := make(chan error, 1)
	s.config.Trainers.Acknowledge(trainer, step, func(err error) { results <- err })
	s.writeTrainerError(ctx, <-results)
}

// writeTrainerError writes an empty object if err is nil, a redirect for a
// node.RedirectError, and an error response otherwise.
func (s *Server) writeTrainerError(ctx *fasthttp.RequestCtx, err error) {
	if err == nil {
		s.writeJSON(ctx, fasthttp.StatusOK, struct{}{})
		return
	}
	var redirect *node.RedirectError
	if errors.As(err, &redirect) {
		ctx.Response.Header.Set(fasthttp.HeaderLocation, "http://"+redirect.Address+string(ctx.RequestURI()))
		ctx.SetStatusCode(fasthttp.StatusTemporaryRedirect)
		return
	}
	s.writeFailure(ctx, failureOf(err), OutcomeNotRun)
}

type fetchResult struct {
	body []byte
	err  error
}

// fetch is a long poll: it responds as soon as the step is sealed, or after the
// wait with a Retry-After.
func (s *Server) fetch(ctx *fasthttp.RequestCtx, trainer string, step uint64) {
	wait, err := time.ParseDuration(string(ctx.QueryArgs().Peek(paramWait)))
	if err != nil || wait <= 0 || wait > maxFetchWait {
		wait = maxFetchWait
	}
	version, err := strconv.ParseInt(string(ctx.QueryArgs().Peek(paramTrain)), 10, 64)
	if err != nil {
		version = 0
	}
	results := make(chan fetchResult, 1)
	cancel := s.config.Trainers.Fetch(trainer, step, version, func(body []byte, err error) { results <- fetchResult{body: body, err: err} })
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case result := <-results:
		if result.err != nil {
			s.writeTrainerError(ctx, result.err)
			return
		}
		ctx.SetContentType("application/x-ndjson")
		ctx.SetBody(result.body)
	case <-timer.C:
		cancel()
		s.writeFailure(ctx, failure{status: fasthttp.StatusAccepted, kind: typeServer, code: codeStepNotReady, message: "the step is not complete yet", retryAfter: fetchRetryAfter}, OutcomeNotRun)
	}
}
