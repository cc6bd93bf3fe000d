package forward

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"golang.org/x/time/rate"
	"k8s.io/klog/v2"

	"github.com/pathtally/pathtally/internal/callers/dispatch"
	"github.com/pathtally/pathtally/internal/replicas/directory"
	"github.com/pathtally/pathtally/internal/replicas/routing"
)

const (
	// hedgeShare is the part of the objective, between 0 and 1, after which a
	// request that may be repeated goes to a second replica as well.
	hedgeShare = 0.5
	// noObjective is the objective of a route that names none.
	noObjective = time.Second
	// comeBack is when refused callers are told to come back.
	comeBack = 120 * time.Millisecond
	// fullPause is the time before a request that every replica turned away is
	// offered again, and fullShare the part of the objective, between 0 and 1,
	// until which it is.
	fullPause = 12 * time.Millisecond
	fullShare = 0.2
)

// Config is what a Forwarder needs.
type Config struct {
	Zone       string
	Directory  *directory.Table
	Dispatcher *dispatch.Dispatcher
	Logger     klog.Logger
	Metrics    *Metrics
	// Prompt returns a number that prompts with the same beginning share, 0
	// for none. Nil means that no request has a prompt.
	Prompt func(header http.Header) uint64
	// VersionField names the line of an event that tells a weight version.
	VersionField string
	// Meter counts the metered requests that began to run; nil counts none.
	Meter Meter
}

// Forwarder forwards live requests. It is safe for use by many goroutines.
type Forwarder struct {
	config Config
	split  splitter
	// ordinary bounds the log lines of requests that were served at once.
	ordinary *rate.Limiter
}

const (
	// ordinaryLines is how many such lines a second the log has room for, and
	// ordinaryBurst how many at once.
	ordinaryLines = 30
	ordinaryBurst = 60
)

// New returns a forwarder.
func New(config Config) *Forwarder {
	if config.Meter == nil {
		config.Meter = unmetered{}
	}
	return &Forwarder{config: config, ordinary: rate.NewLimiter(ordinaryLines, ordinaryBurst)}
}

// Whole is a replica's answer, read to its end.
type Whole struct {
	Answer *dispatch.Answer
	Body   []byte
	// Failures counts the answers by which replicas said that the request
	// failed there, this one included.
	Failures int
	// Refusals counts the replicas that turned the request away before one
	// took it.
	Refusals int
}

// Do forwards a request and returns a whole answer, a *RefusedError or a
// *LostError. The context ends when the caller leaves.
func (f *Forwarder) Do(ctx context.Context, route *directory.Route, call *dispatch.Call) (*Whole, error) {
	ctx, cancel := context.WithDeadline(ctx, call.Deadline)
	defer cancel()
	objective := route.Objective
	if objective <= 0 {
		objective = noObjective
	}
	run := &run{
		forwarder: f, route: route, call: call, results: make(chan result, route.Attempts+maxRefusals),
		repeatable: route.Kind == directory.RouteSafe, objective: objective, started: time.Now(), first: f.split.next(route),
	}
	var whole *Whole
	err := f.checkHomes(route, call)
	if err == nil {
		whole, err = run.do(ctx)
	}
	run.report(whole, err)
	if at, began := run.sent.began(); began && call.Metered {
		f.config.Meter.Began(call.Tenant, at)
	}
	return whole, err
}

// pick returns a replica for the next attempt. The route's targets are tried
// from the one whose turn it is.
func (f *Forwarder) pick(route *directory.Route, first int, tried []string, call *dispatch.Call) (*routing.Endpoint, error) {
	view := f.config.Directory.View()
	query := &routing.Query{Zone: f.config.Zone, Tried: tried, Random: rand.Uint64(), Objective: plainObjective(route), Homes: view.Configuration.HomesOf(route, call.Tenant)}
	if route.Sticky && f.config.Prompt != nil {
		query.PrefixHash = f.config.Prompt(call.Header)
	}
	var failure error = routing.ErrNoEngineDeclared
	for i := range route.Targets {
		plan := view.Plans[route.Targets[(first+i)%len(route.Targets)].Service]
		if plan == nil {
			continue
		}
		endpoint, err := plan.Pick(query)
		if err == nil {
			return endpoint, nil
		}
		failure = err
	}
	return nil, failure
}

// plainObjective is the objective of requests whose whole answer it concerns;
// that of a stream concerns its first event.
func plainObjective(route *directory.Route) time.Duration {
	if route.Kind == directory.RouteStream {
		return 0
	}
	return route.Objective
}

// versionLine is the line of an event that tells a weight version.
func versionLine(field string, version int64) string {
	return field + ": " + strconv.FormatInt(version, 10) + "\n"
}

// sleep waits and tells whether the context still stands.
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
