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
	// submitTimeout bounds a submission for which neither caller nor route sets a
	// deadline, and endTimeout an end whose caller sets none.
	submitTimeout = 10 * time.Second
	endTimeout    = 3 * time.Second
	// responseMargin is the part of the caller's deadline reserved for the response.
	responseMargin = 60 * time.Millisecond
	// callTimeout bounds a call about a job, in addition to the time that a reader asks
	// to wait.
	callTimeout = 1300 * time.Millisecond
	// maxReadWait bounds the time that a reader may wait for new results.
	maxReadWait = 2 * time.Second
	// maxPageBytes bounds the texts in one page.
	maxPageBytes = 900 << 10
)

// Handler serves the HTTP API of batch jobs. It is safe for concurrent use.
type Handler struct {
	Service *Service
	Headers ingress.Headers
}

var _ ingress.Jobs = (*Handler)(nil)

// Submit implements ingress.Jobs.
func (h *Handler) Submit(writer http.ResponseWriter, request *http.Request, submitted ingress.Submission) {
	id, route := submitted.ID, submitted.Route
	submission, err := h.Service.config.Codec.DecodeSubmission(submitted.Body)
	if err != nil {
		h.refuse(writer, id, err, malformed)
		return
	}
	if submission.HasCredentials {
		h.refuse(writer, id, ErrItemCredentials, malformed)
		return
	}
	if submission.Invalid != nil {
		h.refuse(writer, id, submission.Invalid, malformed)
		return
	}
	// The job may be stored already when the caller disconnects.
	base, detach := ingress.UntilGraceEnd(h.Service.base, request)
	defer detach()
	ctx, cancel := context.WithTimeout(base, h.submitTimeout(request, route.Timeout)-responseMargin)
	defer cancel()
	err = h.Service.Submit(ctx, &SubmitRequest{
		ID: id, Route: route.Name, Host: route.Host, Tenant: submitted.Tenant, Entry: h.Service.config.Region, Payload: submitted.Body,
		Submission: submission,
	})
	if err != nil {
		h.refuse(writer, id, err, submissionRefusal(err))
		return
	}
	h.Headers.SetRefusal(writer.Header(), id, 0)
	writer.WriteHeader(http.StatusAccepted)
}

// submitTimeout returns the time that a submission may take: the route's timeout, or the
// caller's deadline if that is shorter.
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

// IsJobRequest implements ingress.Jobs.
func (h *Handler) IsJobRequest(request *http.Request) bool {
	_, isCall, _ := h.Service.config.Codec.DecodeCall(request)
	return isCall
}

// ServeJobRequest implements ingress.Jobs. It responds to a call about another tenant's batch
// job as if the job did not exist.
func (h *Handler) ServeJobRequest(writer http.ResponseWriter, request *http.Request, tenant string) {
	call, _, err := h.Service.config.Codec.DecodeCall(request)
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
	case CallItemBody:
		h.serveBody(writer, request, call)
	case CallEnd:
		h.serveEnd(writer, request, call)
	}
}

// authorize checks that a batch job belongs to the calling tenant.
func (h *Handler) authorize(request *http.Request, call Call, tenant string) error {
	ctx, cancel := context.WithTimeout(request.Context(), callTimeout)
	defer cancel()
	return h.Service.Authorize(ctx, call.Job, tenant)
}

func (h *Handler) serveRead(writer http.ResponseWriter, request *http.Request, call Call) {
	wait := min(h.Headers.ResultWait(request.Header), maxReadWait)
	ctx, cancel := context.WithTimeout(request.Context(), wait+callTimeout)
	defer cancel()
	page, err := h.Service.Read(ctx, call.Job, call.After, wait)
	if err != nil {
		h.fail(writer, call, err)
		return
	}
	results := page.Results[:pageLength(page.Results)]
	encoded, err := h.Service.config.Codec.EncodePage(page.Total, call.After+len(results), results)
	if err != nil {
		h.fail(writer, call, err)
		return
	}
	writer.Header().Set("Content-Type", "application/json")
	writer.Header().Set("Content-Length", strconv.Itoa(len(encoded)))
	writer.Write(encoded)
}

// pageLength returns how many of the results fit into one page, at least one.
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
	body, err := h.Service.ItemBody(ctx, call.Job, call.Item)
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
		timeout = max(wait-responseMargin, responseMargin)
	}
	base, detach := ingress.UntilGraceEnd(h.Service.base, request)
	defer detach()
	ctx, cancel := context.WithTimeout(base, timeout)
	defer cancel()
	if err := h.Service.End(ctx, call.Job); err != nil {
		h.fail(writer, call, err)
		return
	}
	writer.WriteHeader(http.StatusOK)
}

// fail responds to a call that could not be served.
func (h *Handler) fail(writer http.ResponseWriter, call Call, err error) {
	h.refuse(writer, call.Job, err, callRefusal(err))
}

// refuse responds with an error and logs it.
func (h *Handler) refuse(writer http.ResponseWriter, id string, err error, response refusal) {
	h.Headers.SetRefusal(writer.Header(), id, response.retryAfter)
	writer.Header().Set("Content-Type", "text/plain; charset=utf-8")
	writer.WriteHeader(response.status)
	writer.Write([]byte(err.Error() + "\n"))
	h.Service.config.Logger.Info("node returned an error response", "request", id, "status", response.status, "reason", err.Error())
}
