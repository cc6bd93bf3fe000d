package loadgen

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/panjf2000/ants/v2"
	"github.com/valyala/fasthttp"
)

// Stream is one kind of arrivals.
type Stream struct {
	Group     string
	Model     string
	PerSecond float64
	MaxTokens int
	Deadline  time.Duration
	// UnsafeShare is the part of requests that are unsafe to repeat, and
	// RepeatShare the part of those that are sent again through another node.
	UnsafeShare float64
	RepeatShare float64
}

// Config is what a Generator needs.
type Config struct {
	Streams []Stream
	// Nodes returns the HTTP addresses to spread requests over.
	Nodes func() []string
	Seed  uint64
}

// Generator sends requests until its context ends.
type Generator struct {
	config   Config
	client   *fasthttp.Client
	recorder *recorder
	running  sync.WaitGroup
}

// maxInFlight bounds the requests open at once.
const maxInFlight = 4096

// New returns a generator that has not started.
func New(config Config) *Generator {
	return &Generator{config: config, client: NewClient(), recorder: newRecorder()}
}

// Run sends until the context ends and then waits for the open requests.
func (g *Generator) Run(ctx context.Context) error {
	pool, err := ants.NewPool(maxInFlight)
	if err != nil {
		return err
	}
	defer pool.Release()
	var streams sync.WaitGroup
	for i, stream := range g.config.Streams {
		streams.Go(func() { g.arrivals(ctx, pool, stream, g.config.Seed+uint64(i)) })
	}
	streams.Wait()
	g.running.Wait()
	return nil
}

// arrivals are a Poisson process: the time to the next one does not depend on
// answers, so a slow service is seen by all who come meanwhile.
func (g *Generator) arrivals(ctx context.Context, pool *ants.Pool, stream Stream, seed uint64) {
	random := rand.New(rand.NewPCG(seed, seed))
	next := time.Now()
	for number := 0; ; number++ {
		next = next.Add(time.Duration(random.ExpFloat64() / stream.PerSecond * float64(time.Second)))
		timer := time.NewTimer(time.Until(next))
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
		request := Request{
			Model: stream.Model, Group: stream.Group, MaxTokens: stream.MaxTokens, Deadline: stream.Deadline, Stream: random.IntN(2) == 0,
			Prompt: fmt.Sprintf("%s counter %d asks for job %d-%d", stream.Group, random.IntN(32), seed, number),
		}
		copies := 1
		if random.Float64() < stream.UnsafeShare {
			request.Key = fmt.Sprintf("key-%d-%d", seed, number)
			request.Prompt = "unsafe " + request.Prompt
			request.Stream = false
			if random.Float64() < stream.RepeatShare {
				copies = 2
			}
		}
		nodes := g.config.Nodes()
		if len(nodes) == 0 {
			continue
		}
		first := random.IntN(len(nodes))
		for i := range copies {
			g.send(pool, nodes[(first+i)%len(nodes)], request)
		}
	}
}

func (g *Generator) send(pool *ants.Pool, address string, request Request) {
	g.recorder.sent(request)
	g.running.Add(1)
	begun := time.Now()
	err := pool.Submit(func() {
		defer g.running.Done()
		verdict := Do(g.client, address, request)
		g.recorder.ended(request, verdict, time.Since(begun))
	})
	if err != nil {
		g.running.Done()
	}
}

// Counts returns what callers have seen so far.
func (g *Generator) Counts() Counts {
	g.recorder.mutex.Lock()
	defer g.recorder.mutex.Unlock()
	return g.recorder.counts
}

// Codes returns how often each error code was seen.
func (g *Generator) Codes() map[string]int64 {
	g.recorder.mutex.Lock()
	defer g.recorder.mutex.Unlock()
	return maps.Clone(g.recorder.codes)
}

// Quantile returns the time to the whole answer at a percentile, 0 to 100.
func (g *Generator) Quantile(percentile float64) time.Duration {
	g.recorder.mutex.Lock()
	defer g.recorder.mutex.Unlock()
	return time.Duration(g.recorder.histogram.ValueAtQuantile(percentile)) * time.Microsecond
}

// Unsafe returns the prompts sent as unsafe to repeat, with how often.
func (g *Generator) Unsafe() map[string]int {
	g.recorder.mutex.Lock()
	defer g.recorder.mutex.Unlock()
	return maps.Clone(g.recorder.unsafe)
}

// NotRun returns the prompts of safe requests of which a node said that they
// were not run.
func (g *Generator) NotRun() []string {
	g.recorder.mutex.Lock()
	defer g.recorder.mutex.Unlock()
	return append([]string(nil), g.recorder.notRun...)
}
