package batch

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/pathtally/pathtally/internal/callers/ingress"
	"github.com/pathtally/pathtally/internal/jobs/jobstore"
)

const (
	// submitTimeout bounds a submission whose caller and route name no time, and
	// endTimeout an end whose caller names none.
	submitTimeout = 10 * time.Second
	endTimeout    = 3 * time.Second
	// answerMargin is kept of the caller's time for the way of the answer.
	answerMargin = 60 * time.Millisecond
	// callTimeout bounds a call about a job besides the time that it may wait.
	callTimeout = 1300 * time.Millisecond
	// maxReadWait bounds how long a reader may have a call held.
	maxReadWait = 2 * time.Second
	// maxPageBytes bounds the texts of one page.
	maxPageBytes = 900 << 10
)

// Handler serves the calls of batch jobs over HTTP. It is safe for use by many goroutines.
type Handler struct {
	Service *Service
	Headers ingress.Headers
}

var _ ingress.Jobs = (*Handler)(nil)

// Submit implements ingress.Jobs.
func (h *Handler) Submit(writer http.ResponseWriter, request *http.Request, submitted ingress.Submitted) {
	id, route := submitted.ID, submitted.Route
	submission, err := h.Service.config.Codec.Submission(submitted.Body)
	if err != nil {
		h.refuse(writer, id, err, malformed)
		return
	}
	if submission.HasCredentials {
		h.refuse(writer, id, ErrCredentials, malformed)
		return
	}
	// The caller's leaving does not end it: the job may be taken by then.
	ctx, cancel := context.WithTimeout(h.Service.base, h.submitTimeout(request, route.Timeout)-answerMargin)
	defer cancel()
	err = h.Service.Submit(ctx, &Arrival{
		ID: id, Route: route.Name, Host: route.Host, Tenant: submitted.Tenant, Entry: h.Service.config.Region, Payload: submitted.Body,
		Submission: submission,
	})
	if err != nil {
		h.refuse(writer, id, err, refusalOfSubmission(err))
		return
	}
	h.Headers.Refuse(writer.Header(), id, 0)
	writer.WriteHeader(http.StatusAccepted)
}

// submitTimeout is how long a submission may take: the route's time, or the caller's where
// that is shorter.
func (h *Handler) submitTimeout(request *http.Request, routeTimeout time.Duration) time.Duration {
	timeout := submitTimeout
	if routeTimeout > 0 {
		timeout = routeTimeout
	}
	if wait, named := h.Headers.Deadline(request.Header); named {
		timeout = min(timeout, wait)
	}
	return timeout
}

// IsCall implements ingress.Jobs.
func (h *Handler) IsCall(request *http.Request) bool {
	_, isCall, _ := h.Service.config.Codec.Call(request)
	return isCall
}

// ServeCall implements ingress.Jobs. A batch job of another tenant's does not
// exist for the caller.
func (h *Handler) ServeCall(writer http.ResponseWriter, request *http.Request, tenant string) {
	call, _, err := h.Service.config.Codec.Call(request)
	if err != nil {
		h.refuse(writer, call.Job, err, malformed)
		return
	}
	if err := h.authorize(request, call, tenant); err != nil {
		h.fail(writer, call, err)
		return
	}
	switch call.Kind {
	case CallRead:
		h.serveRead(writer, request, call)
	case CallBody:
		h.serveBody(writer, request, call)
	case CallEnd:
		h.serveEnd(writer, request, call)
	}
}

// authorize finds out whether a batch job is the calling tenant's.
func (h *Handler) authorize(request *http.Request, call Call, tenant string) error {
	ctx, cancel := context.WithTimeout(request.Context(), callTimeout)
	defer cancel()
	return h.Service.Authorize(ctx, call.Job, tenant)
}

func (h *Handler) serveRead(writer http.ResponseWriter, request *http.Request, call Call) {
	wait := min(h.Headers.Wait(request.Header), maxReadWait)
	ctx, cancel := context.WithTimeout(request.Context(), wait+callTimeout)
	defer cancel()
	page, err := h.Service.Read(ctx, call.Job, call.After, wait)
	if err != nil {
		h.fail(writer, call, err)
		return
	}
	results := page.Results[:pageLength(page.Results)]
	encoded, err := h.Service.config.Codec.Page(page.Total, call.After+len(results), results)
	if err != nil {
		h.fail(writer, call, err)
		return
	}
	writer.Header().Set("Content-Type", "application/json")
	writer.Header().Set("Content-Length", strconv.Itoa(len(encoded)))
	writer.Write(encoded)
}

// pageLength is how many results fit into one page, one at least.
func pageLength(results []jobstore.Result) int {
	size := 0
	for i, result := range results {
		size += len(result.Text) + resultOverhead
		if size > maxPageBytes && i > 0 {
			return i
		}
	}
	return len(results)
}

func (h *Handler) serveBody(writer http.ResponseWriter, request *http.Request, call Call) {
	ctx, cancel := context.WithTimeout(request.Context(), 2*callTimeout)
	defer cancel()
	body, err := h.Service.Body(ctx, call.Job, call.Item)
	if err != nil {
		h.fail(writer, call, err)
		return
	}
	writer.Header().Set("Content-Type", "application/octet-stream")
	writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
	writer.Write(body)
}

func (h *Handler) serveEnd(writer http.ResponseWriter, request *http.Request, call Call) {
	timeout := endTimeout
	if wait, named := h.Headers.Deadline(request.Header); named {
		timeout = max(wait-answerMargin, answerMargin)
	}
	ctx, cancel := context.WithTimeout(h.Service.base, timeout)
	defer cancel()
	if err := h.Service.End(ctx, call.Job); err != nil {
		h.fail(writer, call, err)
		return
	}
	writer.WriteHeader(http.StatusOK)
}

// fail answers a call that could not be served.
func (h *Handler) fail(writer http.ResponseWriter, call Call, err error) {
	h.refuse(writer, call.Job, err, refusalOfCall(err))
}

// refuse answers with the error's text and logs it.
func (h *Handler) refuse(writer http.ResponseWriter, id string, err error, answer refusal) {
	h.Headers.Refuse(writer.Header(), id, answer.retryAfter)
	writer.Header().Set("Content-Type", "text/plain; charset=utf-8")
	writer.WriteHeader(answer.status)
	writer.Write([]byte(err.Error() + "\n"))
	h.Service.config.Logger.Info("node returned an error response", "request", id, "status", answer.status, "reason", err.Error())
}
