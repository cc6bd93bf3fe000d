package forward

import (
	"context"
	"net/http"
	"time"

	"golang.org/x/time/rate"
	"k8s.io/klog/v2"

	"github.com/pathtally/pathtally/internal/callers/dispatch"
	"github.com/pathtally/pathtally/internal/replicas/directory"
)

// Config is what a Forwarder needs.
type Config struct {
	// Zone is that of this node.
	Zone       string
	Directory  *directory.Table
	Dispatcher *dispatch.Dispatcher
	Logger     klog.Logger
	Metrics    *Metrics
	// Prompt returns a hash that prompts with the same beginning share, 0
	// for none. Nil means that no request has a prompt.
	Prompt func(header http.Header) uint64
	// VersionField names the line of an event that gives a weight version.
	VersionField string
	// Meter counts the metered requests that began to run; nil counts none.
	Meter Meter
}

// Forwarder forwards live requests. It is safe for use by many goroutines.
type Forwarder struct {
	config Config
	split  targetSplitter
	// promptLines limits the log lines of requests that were served promptly.
	promptLines *rate.Limiter
}

const (
	// promptLinesPerSecond bounds the log lines of requests served promptly, and
	// promptLinesBurst how many may come at once.
	promptLinesPerSecond = 30
	promptLinesBurst     = 60
)

// New returns a forwarder.
func New(config Config) *Forwarder {
	if config.Meter == nil {
		config.Meter = noMeter{}
	}
	return &Forwarder{config: config, promptLines: rate.NewLimiter(promptLinesPerSecond, promptLinesBurst)}
}

// Do forwards a request and returns the whole answer, a *RefusedError or a
// *LostError. The context ends when the caller leaves.
func (f *Forwarder) Do(ctx context.Context, route *directory.Route, call *dispatch.Call) (*BufferedAnswer, error) {
	ctx, cancel := context.WithDeadline(ctx, call.Deadline)
	defer cancel()
	request := f.newRequest(route, call)
	var answer *BufferedAnswer
	err := f.checkHomes(route, call)
	if err == nil {
		answer, err = request.run(ctx)
	}
	request.report(answer, err)
	if at, started := request.attempts.startedAt(); started && call.Metered {
		f.config.Meter.CountRequest(call.Tenant, at)
	}
	return answer, err
}

// sleep waits and returns whether the context is still open.
func sleep(ctx context.Context, span time.Duration) bool {
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
