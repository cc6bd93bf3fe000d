package batch

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/pathtally/pathtally/internal/callers/forward"
	"github.com/pathtally/pathtally/internal/callers/ingress"
	"github.com/pathtally/pathtally/internal/jobs/journal"
)

const (
	// submitTime is how long a submission may take where its caller names no
	// time, and answerMargin what is kept of the caller's time for the way back.
	submitTime   = 10 * time.Second
	answerMargin = 60 * time.Millisecond
	// callTime bounds a call about a job besides the time that it may wait.
	callTime = 1300 * time.Millisecond
	// comeBack is when callers are told to come back to a refused call.
	comeBack = 200 * time.Millisecond
	// withoutHomeWait is when to come back with a job that no replica may run: a replica
	// that is started or a configuration that is changed is known everywhere some
	// seconds later.
	withoutHomeWait = 2 * time.Second
	// longestWait bounds how long a reader may have a call held.
	longestWait = 2 * time.Second
)

// Front serves the calls of batch jobs over HTTP.
type Front struct {
	Service *Service
	Headers ingress.Headers
}

var _ ingress.Jobs = (*Front)(nil)

// Submit implements ingress.Jobs.
func (f *Front) Submit(writer http.ResponseWriter, request *http.Request, submitted ingress.Submitted) {
	id, route := submitted.ID, submitted.Route
	submission, err := f.Service.config.Codec.Submission(submitted.Body)
	if err != nil {
		f.refuse(writer, id, http.StatusBadRequest, err, 0)
		return
	}
	if submission.HasCredentials {
		f.refuse(writer, id, http.StatusBadRequest, ErrCredentials, 0)
		return
	}
	patience := submitTime
	if route.Timeout > 0 {
		patience = route.Timeout
	}
	if wait, named := f.Headers.Deadline(request.Header); named {
		patience = min(patience, wait)
	}
	// The caller's leaving does not end it: the job may be taken by then.
	ctx, cancel := context.WithTimeout(f.Service.base, patience-answerMargin)
	defer cancel()
	err = f.Service.Submit(ctx, &Arrival{
		ID: id, Route: route.Name, Host: route.Host, Tenant: submitted.Tenant, Entry: f.Service.config.Region, Payload: submitted.Body,
		Submission: submission,
	})
	var notTaken *journal.NotTakenError
	switch {
	case err == nil:
		f.Headers.Refuse(writer.Header(), id, 0)
		writer.WriteHeader(http.StatusAccepted)
	case errors.Is(err, ErrOtherTenant):
		f.refuse(writer, id, http.StatusConflict, err, 0)
	case errors.Is(err, forward.ErrNoHome):
		f.refuse(writer, id, http.StatusServiceUnavailable, err, withoutHomeWait)
	case errors.As(err, &notTaken):
		f.refuse(writer, id, http.StatusServiceUnavailable, err, comeBack)
	default:
		f.refuse(writer, id, http.StatusGatewayTimeout, err, 0)
	}
}

// IsCall implements ingress.Jobs.
func (f *Front) IsCall(request *http.Request) bool {
	_, isCall, _ := f.Service.config.Codec.Call(request)
	return isCall
}

// ServeCall implements ingress.Jobs. A batch job of another tenant's does not
// exist for the caller.
func (f *Front) ServeCall(writer http.ResponseWriter, request *http.Request, tenant string) {
	call, _, err := f.Service.config.Codec.Call(request)
	if err != nil {
		f.refuse(writer, call.Job, http.StatusBadRequest, err, 0)
		return
	}
	if err := f.authorize(request, call, tenant); err != nil {
		f.fail(writer, call, err)
		return
	}
	switch call.Kind {
	case CallRead:
		f.read(writer, request, call)
	case CallBody:
		f.body(writer, request, call)
	case CallEnd:
		f.end(writer, request, call)
	}
}

// authorize finds out whether a batch job is the calling tenant's.
func (f *Front) authorize(request *http.Request, call Call, tenant string) error {
	ctx, cancel := context.WithTimeout(request.Context(), callTime)
	defer cancel()
	return f.Service.Authorize(ctx, call.Job, tenant)
}

func (f *Front) read(writer http.ResponseWriter, request *http.Request, call Call) {
	patience := min(f.Headers.Wait(request.Header), longestWait)
	ctx, cancel := context.WithTimeout(request.Context(), patience+callTime)
	defer cancel()
	page, err := f.Service.Read(ctx, call.Job, call.After, patience)
	if err != nil {
		f.fail(writer, call, err)
		return
	}
	results := page.Results[:pageLength(page.Results)]
	encoded, err := f.Service.config.Codec.Page(page.Total, call.After+len(results), results)
	if err != nil {
		f.fail(writer, call, err)
		return
	}
	writer.Header().Set("Content-Type", "application/json")
	writer.Header().Set("Content-Length", strconv.Itoa(len(encoded)))
	writer.Write(encoded)
}

// pageBytes bounds the texts of one page.
const pageBytes = 900 << 10

// pageLength is how many results fit into one page, one at least.
func pageLength(results []journal.Result) int {
	size := 0
	for i, result := range results {
		size += len(result.Text) + resultOverhead
		if size > pageBytes && i > 0 {
			return i
		}
	}
	return len(results)
}

func (f *Front) body(writer http.ResponseWriter, request *http.Request, call Call) {
	ctx, cancel := context.WithTimeout(request.Context(), 2*callTime)
	defer cancel()
	body, err := f.Service.Body(ctx, call.Job, call.Item)
	if err != nil {
		f.fail(writer, call, err)
		return
	}
	writer.Header().Set("Content-Type", "application/octet-stream")
	writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
	writer.Write(body)
}

func (f *Front) end(writer http.ResponseWriter, request *http.Request, call Call) {
	patience := endPatience
	if wait, named := f.Headers.Deadline(request.Header); named {
		patience = max(wait-answerMargin, answerMargin)
	}
	ctx, cancel := context.WithTimeout(f.Service.base, patience)
	defer cancel()
	if err := f.Service.End(ctx, call.Job); err != nil {
		f.fail(writer, call, err)
		return
	}
	writer.WriteHeader(http.StatusOK)
}

// endPatience bounds an end whose caller names no time.
const endPatience = 3 * time.Second

// fail answers a call that could not be served: 404 only when that is certain.
func (f *Front) fail(writer http.ResponseWriter, call Call, err error) {
	status, after := http.StatusServiceUnavailable, comeBack
	if errors.Is(err, journal.ErrNoSuchJob) || errors.Is(err, ErrNoSuchItem) {
		status, after = http.StatusNotFound, 0
	}
	f.refuse(writer, call.Job, status, err, after)
}

func (f *Front) refuse(writer http.ResponseWriter, id string, status int, err error, after time.Duration) {
	f.Headers.Refuse(writer.Header(), id, after)
	writer.Header().Set("Content-Type", "text/plain; charset=utf-8")
	writer.WriteHeader(status)
	writer.Write([]byte(err.Error() + "\n"))
	f.Service.config.Logger.Info("answered by the node", "request", id, "status", status, "reason", err.Error())
}
