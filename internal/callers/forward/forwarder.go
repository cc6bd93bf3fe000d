package forward

import (
	"context"
	"net/http"
	"time"

	"golang.org/x/time/rate"
	"k8s.io/klog/v2"

	"github.com/pathtally/pathtally/internal/callers/bytebudget"
	"github.com/pathtally/pathtally/internal/callers/dispatch"
	"github.com/pathtally/pathtally/internal/replicas/directory"
)

// Config configures a Forwarder.
type Config struct {
	// Zone is the zone of this node.
	Zone       string
	Directory  *directory.Table
	Dispatcher *dispatch.Dispatcher
	Logger     klog.Logger
	Metrics    *Metrics
	// PromptHash returns a hash of the beginning of a request's prompt, or 0 if it has
	// none. Requests with equal hashes prefer the same replica. Nil disables this.
	PromptHash func(header http.Header) uint64
	// VersionField is the name of the event field that holds the weight version.
	VersionField string
	// Meter counts the metered requests that started to run. May be nil.
	Meter Meter
	// MaxTotalResponseBytes limits the total size of the large response bodies and events that are
	// being read or have not been written to their callers; 0 means no limit.
	MaxTotalResponseBytes int64
	// RelieveResponses ends a request whose caller does not read the response, for the benefit of
	// others, and returns false if there is none. It may be nil.
	RelieveResponses func() bool
}

// Forwarder forwards live requests. It is safe for concurrent use.
type Forwarder struct {
	config   Config
	splitter targetSplitter
	// successLogLimiter limits the rate of log lines for requests that were served within
	// their objective at the first attempt.
	successLogLimiter *rate.Limiter
	// refusalLogLimiter limits the rate of log lines for requests refused by admission control.
	refusalLogLimiter *rate.Limiter
	admissions        *serviceAdmissions
	responseBytes     *bytebudget.Budget
}

const (
	// successLogsPerSecond and successLogBurst are the limits of successLogLimiter.
	successLogsPerSecond = 30
	successLogBurst      = 60
	// refusalLogsPerSecond and refusalLogBurst are the limits of refusalLogLimiter.
	refusalLogsPerSecond = 20
	refusalLogBurst      = 40
)

// New returns a Forwarder with the given configuration.
func New(config Config) *Forwarder {
	if config.Meter == nil {
		config.Meter = noMeter{}
	}
	responseBytes := bytebudget.New(config.MaxTotalResponseBytes)
	responseBytes.Relieve = config.RelieveResponses
	return &Forwarder{
		config: config, successLogLimiter: rate.NewLimiter(successLogsPerSecond, successLogBurst),
		refusalLogLimiter: rate.NewLimiter(refusalLogsPerSecond, refusalLogBurst), admissions: &serviceAdmissions{metrics: config.Metrics},
		responseBytes: responseBytes,
	}
}

// ResponseBudget returns the budget of responses, for those that are read by others.
func (f *Forwarder) ResponseBudget() *bytebudget.Budget { return f.responseBytes }

// Do forwards a request and returns the complete response, which must be released. The error is a
// *RefusedError or a *LostError. The context must end when the caller disconnects.
func (f *Forwarder) Do(ctx context.Context, route *directory.Route, call *dispatch.Call) (*BufferedResponse, error) {
	ctx, cancel := context.WithDeadline(ctx, call.Deadline)
	defer cancel()
	request := f.newRequest(route, call)
	var response *BufferedResponse
	err := f.checkAllowedRegions(route, call)
	if err == nil {
		response, err = request.run(ctx)
	}
	if err != nil {
		request.held.close()
	} else {
		response.reservation = request.held
	}
	request.report(response, err)
	if start, started := request.attempts.startedAt(); started && call.Metered {
		f.config.Meter.CountRequest(call.Tenant, start)
	}
	return response, err
}

// sleep waits for a duration. It returns false if the context ends first.
func sleep(ctx context.Context, delay time.Duration) bool {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
