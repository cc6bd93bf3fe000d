package ingress

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/pathtally/pathtally/internal/callers/forward"
)

// Values of Retry-After for refusals that are likely to end soon or that another node may not
// give.
const (
	noConfigurationRetryAfter    = 250 * time.Millisecond
	bodyBudgetRetryAfter         = 300 * time.Millisecond
	staleConfigurationRetryAfter = 100 * time.Millisecond
)

// reasonNoResponse is the body of a response with status 502.
const reasonNoResponse = "no whole answer from a replica"

var (
	errNoConfiguration = merry.Sentinel("no configuration is known yet")
	errNoRoute         = merry.Sentinel("no route for the host and path")
	errNoRequestID     = merry.Sentinel("the request has no id")
)

// refusal is an error response that this node sends in place of a replica's response.
type refusal struct {
	status int
	// reason is the body of the response.
	reason string
	// retryAfter is the value of Retry-After; 0 means that none is sent.
	retryAfter time.Duration
}

// refusalOf maps an error to the response for the caller. Status 503 guarantees that the
// request has not run and will not run; after 502 and 504 it may have run.
func refusalOf(err error) refusal {
	var lost *forward.LostError
	if errors.As(err, &lost) {
		// The cause may be any error, also one that stands for a refusal elsewhere.
		return refusalOfLost(lost)
	}
	var unauthenticated *unauthenticatedError
	var refused *forward.RefusedError
	switch {
	case errors.Is(err, errNoConfiguration):
		return refusal{http.StatusServiceUnavailable, err.Error(), noConfigurationRetryAfter}
	case errors.Is(err, errStopping):
		return refusal{http.StatusServiceUnavailable, err.Error(), stoppingRetryAfter}
	case errors.Is(err, errNoRoute):
		return refusal{http.StatusNotFound, err.Error(), 0}
	case errors.Is(err, errStaleConfiguration):
		return refusal{http.StatusServiceUnavailable, err.Error(), staleConfigurationRetryAfter}
	case errors.As(err, &unauthenticated):
		return refusal{http.StatusUnauthorized, err.Error(), 0}
	case errors.Is(err, errNoRequestID):
		return refusal{http.StatusBadRequest, err.Error(), 0}
	case errors.Is(err, ErrBodyBudgetExhausted):
		return refusal{http.StatusServiceUnavailable, err.Error(), bodyBudgetRetryAfter}
	case errors.Is(err, ErrBodyTooLarge):
		return refusal{http.StatusRequestEntityTooLarge, err.Error(), 0}
	case errors.As(err, &refused):
		return refusal{http.StatusServiceUnavailable, refused.Reason, refused.RetryAfter}
	}
	return refusal{http.StatusBadGateway, reasonNoResponse, 0}
}

// refusalOfLost returns the response to a request that may have run.
func refusalOfLost(lost *forward.LostError) refusal {
	if lost.Expired {
		return refusal{http.StatusGatewayTimeout, "the time for the request ran out", 0}
	}
	return refusal{http.StatusBadGateway, reasonNoResponse, 0}
}

// refuse writes and logs the error response to a request.
func (h *Handler) refuse(writer http.ResponseWriter, id string, err error) {
	response := refusalOf(err)
	h.config.Headers.SetRefusal(writer.Header(), id, response.retryAfter)
	writer.Header().Set("Content-Type", "text/plain; charset=utf-8")
	writer.WriteHeader(response.status)
	writer.Write([]byte(response.reason + "\n"))
	h.config.Logger.Info("node returned an error response", "request", id, "status", response.status, "reason", response.reason)
}

// refuseUnauthenticated refuses and counts a request that failed authentication. No part of
// the request has been forwarded.
func (h *Handler) refuseUnauthenticated(writer http.ResponseWriter, id string, err error) {
	h.config.Metrics.refusedKeys.WithLabelValues(keyReason(err)).Inc()
	h.refuse(writer, id, err)
}

// handleBodyError ends a request whose body could not be read. If the caller did not send the
// whole body, it aborts the connection, since the caller no longer waits for a response.
func (h *Handler) handleBodyError(writer http.ResponseWriter, id, route string, err error) {
	if errors.Is(err, ErrBodyIncomplete) {
		h.config.Logger.Info("failed to read request body", "request", id, "route", route, "error", err.Error())
		panic(http.ErrAbortHandler)
	}
	h.refuse(writer, id, err)
}

// handleForwardError ends a request for which forwarding returned no response. If the caller
// has disconnected, it aborts the connection.
func (h *Handler) handleForwardError(writer http.ResponseWriter, request *http.Request, id string, err error) {
	cause := context.Cause(request.Context())
	var refused *forward.RefusedError
	switch {
	case cause == nil:
		h.refuse(writer, id, err)
	case !errors.Is(cause, ErrGraceEnded):
		panic(http.ErrAbortHandler)
	case errors.As(err, &refused):
		h.refuse(writer, id, errStopping)
	default:
		h.refuse(writer, id, err)
	}
}
