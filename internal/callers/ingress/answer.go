package ingress

import (
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/pathtally/pathtally/internal/callers/dispatch"
	"github.com/pathtally/pathtally/internal/callers/forward"
	"github.com/pathtally/pathtally/internal/replicas/directory"
)

// roomWait is when to come back with a body that there was no room for.
const roomWait = 300 * time.Millisecond

// refuseBody answers a request whose body was not taken. One that is not whole
// has nobody left to answer.
func (h *Handler) refuseBody(writer http.ResponseWriter, id string, route *directory.Route, err error) {
	switch {
	case errors.Is(err, ErrNoRoom):
		h.refuse(writer, id, http.StatusServiceUnavailable, err.Error(), roomWait)
	case errors.Is(err, ErrBodyTooLarge):
		h.refuse(writer, id, http.StatusRequestEntityTooLarge, err.Error(), 0)
	default:
		h.config.Logger.Info("request not read", "request", id, "route", route.Name, "error", err.Error())
		panic(http.ErrAbortHandler)
	}
}

// fail answers a request that has no answer of a replica's.
func (h *Handler) fail(writer http.ResponseWriter, request *http.Request, call *dispatch.Call, err error) {
	var refused *forward.RefusedError
	var lost *forward.LostError
	switch {
	case request.Context().Err() != nil:
		panic(http.ErrAbortHandler)
	case errors.As(err, &refused):
		h.refuse(writer, call.ID, http.StatusServiceUnavailable, refused.Reason, refused.RetryAfter)
	case errors.As(err, &lost) && lost.Expired:
		h.refuse(writer, call.ID, http.StatusGatewayTimeout, "the time for the request ran out", 0)
	default:
		h.refuse(writer, call.ID, http.StatusBadGateway, "no whole answer from a replica", 0)
	}
}

// pass writes a replica's answer unchanged.
func (h *Handler) pass(writer http.ResponseWriter, whole *forward.BufferedAnswer) {
	header := writer.Header()
	passHead(header, whole.Answer.Header)
	header.Set("Content-Length", strconv.Itoa(len(whole.Body)))
	writer.WriteHeader(whole.Answer.Status)
	writer.Write(whole.Body)
}

// refuse writes an answer of the node's own.
func (h *Handler) refuse(writer http.ResponseWriter, id string, status int, reason string, after time.Duration) {
	h.config.Headers.Refuse(writer.Header(), id, after)
	writer.Header().Set("Content-Type", "text/plain; charset=utf-8")
	writer.WriteHeader(status)
	writer.Write([]byte(reason + "\n"))
	h.config.Logger.Info("answered by the node", "request", id, "status", status, "reason", reason)
}

// passHead copies the headers of a replica's answer.
func passHead(header, from http.Header) {
	for name, values := range withoutConnectionHeaders(from) {
		header[name] = values
	}
	if header.Get("Content-Type") == "" {
		// Without this, the library guesses a type.
		header["Content-Type"] = nil
	}
}
