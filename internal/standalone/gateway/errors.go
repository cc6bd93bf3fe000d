package gateway

import (
	"errors"
	"fmt"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/valyala/fasthttp"

	"github.com/pathtally/pathtally/internal/callers/admission"
	"github.com/pathtally/pathtally/internal/replicas/routing"
	"github.com/pathtally/pathtally/internal/standalone/node"
	"github.com/pathtally/pathtally/internal/standalone/quorum"
	"github.com/pathtally/pathtally/internal/standalone/request"
	"github.com/pathtally/pathtally/internal/standalone/rollout"
)

var errPromptList = merry.Sentinel("a list of prompts must have exactly one entry")

// InputError reports an invalid request.
type InputError struct {
	Status  int
	Code    string
	Param   string
	Message string
}

// Error returns the code and the message.
func (e *InputError) Error() string { return fmt.Sprintf("%s: %s", e.Code, e.Message) }

// Codes and types of error responses, and default Retry-After durations.
const (
	codeInvalidJSON       = "invalid_json"
	codeInvalidValue      = "invalid_value"
	codeModelNotFound     = "model_not_found"
	codeGroupNotFound     = "group_not_found"
	codeBodyTooLarge      = "body_too_large"
	codeContextLength     = "context_length_exceeded"
	codeNotFound          = "not_found"
	codeOverloaded        = "overloaded"
	codeNoEngine          = "no_engine_available"
	codeNoMajority        = "no_quorum"
	codeDeadline          = "deadline_exceeded"
	codeStillRunning      = "still_running"
	codeKeyReused         = "idempotency_key_reused"
	codeEngineFailed      = "engine_failed"
	codeNotReady          = "not_ready"
	codeUnknownStep       = "unknown_step"
	codeStepConflict      = "step_conflict"
	codeTooManySteps      = "too_many_steps"
	codeNoScheduler       = "no_scheduler"
	codeUnknownTrainer    = "unknown_trainer"
	typeInvalidRequest    = "invalid_request_error"
	typeServer            = "server_error"
	typeRateLimit         = "rate_limit_error"
	defaultRetryAfter     = time.Second
	noEngineRetryAfter    = 500 * time.Millisecond
	noSchedulerRetryAfter = 500 * time.Millisecond
)

// failure describes an error response to a caller.
type failure struct {
	status     int
	kind       string
	code       string
	param      string
	message    string
	retryAfter time.Duration
}

// failureTable maps sentinel errors to error responses. The first match applies.
var failureTable = []struct {
	err     error
	failure failure
}{
	{request.ErrKeyReused, failure{status: fasthttp.StatusUnprocessableEntity, kind: typeInvalidRequest, code: codeKeyReused}},
	{request.ErrStillRunning, failure{status: fasthttp.StatusConflict, kind: typeInvalidRequest, code: codeStillRunning, retryAfter: defaultRetryAfter}},
	{request.ErrDeadline, failure{status: fasthttp.StatusGatewayTimeout, kind: typeServer, code: codeDeadline, retryAfter: defaultRetryAfter}},
	{routing.ErrNoEngineAvailable, failure{status: fasthttp.StatusServiceUnavailable, kind: typeServer, code: codeNoEngine, retryAfter: noEngineRetryAfter}},
	{routing.ErrNoEngineDeclared, failure{status: fasthttp.StatusServiceUnavailable, kind: typeServer, code: codeNoEngine, retryAfter: noEngineRetryAfter}},
	{quorum.ErrNoMajority, failure{status: fasthttp.StatusServiceUnavailable, kind: typeServer, code: codeNoMajority, retryAfter: defaultRetryAfter}},
	{request.ErrAttemptsExhausted, failure{status: fasthttp.StatusBadGateway, kind: typeServer, code: codeEngineFailed, retryAfter: defaultRetryAfter}},
	{node.ErrNotReady, failure{status: fasthttp.StatusServiceUnavailable, kind: typeServer, code: codeNotReady, retryAfter: defaultRetryAfter}},
	{node.ErrNoScheduler, failure{status: fasthttp.StatusServiceUnavailable, kind: typeServer, code: codeNoScheduler, retryAfter: noSchedulerRetryAfter}},
	{node.ErrUnknownTrainer, failure{status: fasthttp.StatusNotFound, kind: typeInvalidRequest, code: codeUnknownTrainer}},
	{rollout.ErrStopped, failure{status: fasthttp.StatusServiceUnavailable, kind: typeServer, code: codeNoScheduler, retryAfter: noSchedulerRetryAfter}},
	{rollout.ErrUnknownStep, failure{status: fasthttp.StatusNotFound, kind: typeInvalidRequest, code: codeUnknownStep}},
	{rollout.ErrStepConflict, failure{status: fasthttp.StatusConflict, kind: typeInvalidRequest, code: codeStepConflict}},
	{rollout.ErrTooManySteps, failure{status: fasthttp.StatusTooManyRequests, kind: typeRateLimit, code: codeTooManySteps, retryAfter: defaultRetryAfter}},
	{rollout.ErrInvalidStep, failure{status: fasthttp.StatusBadRequest, kind: typeInvalidRequest, code: codeInvalidValue}},
}

// failureOf returns the error response for any error.
func failureOf(err error) failure {
	var input *InputError
	if errors.As(err, &input) {
		return failure{status: input.Status, kind: typeInvalidRequest, code: input.Code, param: input.Param, message: input.Message}
	}
	var refused *admission.RefusedError
	if errors.As(err, &refused) {
		return failure{status: fasthttp.StatusTooManyRequests, kind: typeRateLimit, code: codeOverloaded, message: refused.Error(), retryAfter: refused.RetryAfter}
	}
	for _, row := range failureTable {
		if errors.Is(err, row.err) {
			found := row.failure
			found.message = err.Error()
			return found
		}
	}
	return failure{status: fasthttp.StatusBadGateway, kind: typeServer, code: codeEngineFailed, message: err.Error(), retryAfter: defaultRetryAfter}
}
