package ingress

import (
	"errors"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/pathtally/pathtally/internal/callers/forward"
)

// Retry-After of refusals that another node may not give, or that end soon.
const (
	noConfigurationRetryAfter = 250 * time.Millisecond
	noRoomRetryAfter          = 300 * time.Millisecond
	unprovenKeyRetryAfter     = 100 * time.Millisecond
)

var (
	errNoConfiguration = merry.Sentinel("no configuration is known yet")
	errNoRoute         = merry.Sentinel("no route for the host and path")
	errNoRequestID     = merry.Sentinel("the request has no id")
)

// refusal is an answer that this node gives in place of a replica's.
type refusal struct {
	status int
	// reason is the text of the answer.
	reason string
	// retryAfter is 0 where no Retry-After is sent.
	retryAfter time.Duration
}

// refusalOf returns the answer to a request that ended with an error. Status 503 says
// that the request has not run and never will, 502 and 504 leave that open.
func refusalOf(err error) refusal {
	var unauthenticated *unauthenticatedError
	var refused *forward.RefusedError
	var lost *forward.LostError
	switch {
	case errors.Is(err, errNoConfiguration):
		return refusal{http.StatusServiceUnavailable, err.Error(), noConfigurationRetryAfter}
	case errors.Is(err, errNoRoute):
		return refusal{http.StatusNotFound, err.Error(), 0}
	case errors.Is(err, errUnprovenKey):
		return refusal{http.StatusServiceUnavailable, err.Error(), unprovenKeyRetryAfter}
	case errors.As(err, &unauthenticated):
		return refusal{http.StatusUnauthorized, err.Error(), 0}
	case errors.Is(err, errNoRequestID):
		return refusal{http.StatusBadRequest, err.Error(), 0}
	case errors.Is(err, ErrNoRoom):
		return refusal{http.StatusServiceUnavailable, err.Error(), noRoomRetryAfter}
	case errors.Is(err, ErrBodyTooLarge):
		return refusal{http.StatusRequestEntityTooLarge, err.Error(), 0}
	case errors.As(err, &refused):
		return refusal{http.StatusServiceUnavailable, refused.Reason, refused.RetryAfter}
	case errors.As(err, &lost) && lost.Expired:
		return refusal{http.StatusGatewayTimeout, "the time for the request ran out", 0}
	}
	return refusal{http.StatusBadGateway, "no whole answer from a replica", 0}
}

// refuse answers a request that ended with an error.
func (h *Handler) refuse(writer http.ResponseWriter, id string, err error) {
	answer := refusalOf(err)
	h.config.Headers.Refuse(writer.Header(), id, answer.retryAfter)
	writer.Header().Set("Content-Type", "text/plain; charset=utf-8")
	writer.WriteHeader(answer.status)
	writer.Write([]byte(answer.reason + "\n"))
	h.config.Logger.Info("answered by the node", "request", id, "status", answer.status, "reason", answer.reason)
}

// refuseCaller answers and counts a request whose caller is not known. Nothing of it
// has been sent on.
func (h *Handler) refuseCaller(writer http.ResponseWriter, id string, err error) {
	h.config.Metrics.refusedKeys.WithLabelValues(keyReason(err)).Inc()
	h.refuse(writer, id, err)
}

// refuseBody answers a request whose body was not read. If the caller did not send the
// whole body, nobody waits for an answer and the connection is cut.
func (h *Handler) refuseBody(writer http.ResponseWriter, id, route string, err error) {
	if errors.Is(err, ErrBodyBroken) {
		h.config.Logger.Info("request not read", "request", id, "route", route, "error", err.Error())
		panic(http.ErrAbortHandler)
	}
	h.refuse(writer, id, err)
}

// refuseUnserved answers a request that has no replica's answer. If the caller has
// left, the connection is cut.
func (h *Handler) refuseUnserved(writer http.ResponseWriter, request *http.Request, id string, err error) {
	if request.Context().Err() != nil {
		panic(http.ErrAbortHandler)
	}
	h.refuse(writer, id, err)
}
