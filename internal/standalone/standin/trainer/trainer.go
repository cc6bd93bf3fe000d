package trainer

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/valyala/fasthttp"

	"github.com/pathtally/pathtally/internal/standalone/enginemodel"
	"github.com/pathtally/pathtally/internal/standalone/rollout"
	"github.com/pathtally/pathtally/internal/standalone/stream"
)

const (
	fetchWait   = 5 * time.Second
	callTimeout = 8 * time.Second
	retryWait   = 100 * time.Millisecond
	redirects   = 4
	// promptPool is how many prompts a trainer goes through before they come
	// again.
	promptPool = 256
)

// ErrNoAnswer means that no node took the call.
var ErrNoAnswer = merry.Sentinel("no node answered the trainer")

// Config is what a Trainer needs.
type Config struct {
	Name string
	// Nodes returns the HTTP addresses of the nodes to try.
	Nodes            func() []string
	Prompts          int
	SamplesPerPrompt int
	MaxTokens        int
	StepsAhead       int
	Bound            int64
	TrainTime        time.Duration
	Seed             uint64
	// Publish makes the weights of a version known.
	Publish func(version int64) error
	// MaxSteps ends the run; 0 goes on until the context ends.
	MaxSteps int
}

// Trainer is a running trainer.
type Trainer struct {
	config    Config
	client    *fasthttp.Client
	mutex     sync.Mutex
	counts    Counts
	preferred string
	submitted map[uint64]bool
}

// New returns a trainer that has not started.
func New(config Config) *Trainer {
	return &Trainer{config: config, client: &fasthttp.Client{MaxIdemponentCallAttempts: 1, MaxResponseBodySize: 1 << 30}, submitted: map[uint64]bool{}}
}

// Counts returns what was seen so far.
func (t *Trainer) Counts() Counts {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.counts
}

// Run trains step after step until the context ends. Step n trains version n
// and publishes version n+1.
func (t *Trainer) Run(ctx context.Context) {
	for step := uint64(1); ctx.Err() == nil; step++ {
		if t.config.MaxSteps > 0 && step > uint64(t.config.MaxSteps) {
			return
		}
		begun := time.Now()
		body, received := t.await(ctx, step)
		if !received {
			return
		}
		idle := time.Since(begun)
		t.check(step, body)
		t.acknowledge(ctx, step)
		if t.config.StepsAhead > 0 {
			t.submit(ctx, step+1)
			t.submitAhead(ctx, step+1)
		}
		trained := time.Now()
		sleep(ctx, t.config.TrainTime)
		if ctx.Err() == nil && t.config.Publish != nil {
			t.publish(ctx, int64(step)+1)
		}
		t.mutex.Lock()
		t.counts.Steps++
		t.counts.Idle += idle
		t.counts.Training += time.Since(trained)
		t.counts.Versions = int64(step) + 1
		t.mutex.Unlock()
	}
}

func (t *Trainer) publish(ctx context.Context, version int64) {
	for ctx.Err() == nil {
		if t.config.Publish(version) == nil {
			return
		}
		sleep(ctx, retryWait)
	}
}

func sleep(ctx context.Context, span time.Duration) {
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (t *Trainer) request(step uint64) rollout.StepRequest {
	request := rollout.StepRequest{
		Step: step, TrainVersion: int64(step), SamplesPerPrompt: t.config.SamplesPerPrompt, MaxTokens: t.config.MaxTokens, Seed: t.config.Seed + step*7919,
	}
	for i := range t.config.Prompts {
		request.Prompts = append(request.Prompts, fmt.Sprintf("%s: draft the next drop of rider %d", t.config.Name, (int(step)*t.config.Prompts+i)%promptPool))
	}
	return request
}

// submitAhead opens the steps after the one in training.
func (t *Trainer) submitAhead(ctx context.Context, step uint64) {
	for next := step + 1; next <= step+uint64(t.config.StepsAhead); next++ {
		t.submit(ctx, next)
	}
}

func (t *Trainer) submit(ctx context.Context, step uint64) {
	if t.submitted[step] {
		return
	}
	data, err := json.Marshal(t.request(step))
	if err != nil {
		return
	}
	if status, _, err := t.call(ctx, fasthttp.MethodPost, t.path(step), data); err == nil && status == fasthttp.StatusOK {
		t.submitted[step] = true
	}
}

func (t *Trainer) path(step uint64) string {
	return fmt.Sprintf("/v1/trainers/%s/steps/%d", t.config.Name, step)
}

// await fetches a step, submitting it again whenever its scheduler does not
// know it.
func (t *Trainer) await(ctx context.Context, step uint64) ([]byte, bool) {
	for ctx.Err() == nil {
		t.submit(ctx, step)
		t.submitAhead(ctx, step)
		path := fmt.Sprintf("%s?wait=%s&train_version=%d", t.path(step), fetchWait, step)
		status, body, err := t.call(ctx, fasthttp.MethodGet, path, nil)
		switch {
		case err == nil && status == fasthttp.StatusOK:
			return body, true
		case err == nil && status == fasthttp.StatusNotFound:
			clear(t.submitted)
		case err == nil && status == fasthttp.StatusAccepted:
			continue
		}
		sleep(ctx, retryWait)
	}
	return nil, false
}

func (t *Trainer) acknowledge(ctx context.Context, step uint64) {
	for ctx.Err() == nil {
		status, _, err := t.call(ctx, fasthttp.MethodPost, t.path(step)+"/ack", nil)
		if err == nil && (status == fasthttp.StatusOK || status == fasthttp.StatusNotFound) {
			return
		}
		sleep(ctx, retryWait)
	}
}

// call tries the nodes in turn and follows the redirects to the one that has
// the trainer's duty.
func (t *Trainer) call(ctx context.Context, method, path string, body []byte) (int, []byte, error) {
	addresses := append([]string{t.preferred}, t.config.Nodes()...)
	for _, address := range addresses {
		if address == "" || ctx.Err() != nil {
			continue
		}
		status, answer, err := t.follow(method, "http://"+address+path, body)
		if err == nil && status < fasthttp.StatusInternalServerError {
			return status, answer, nil
		}
		t.preferred = ""
	}
	return 0, nil, merry.Wrap(ErrNoAnswer)
}

func (t *Trainer) follow(method, uri string, body []byte) (int, []byte, error) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	for range redirects {
		request.SetRequestURI(uri)
		request.Header.SetMethod(method)
		request.SetBody(body)
		if err := t.client.DoTimeout(request, response, callTimeout); err != nil {
			return 0, nil, merry.Wrap(err)
		}
		if response.StatusCode() != fasthttp.StatusTemporaryRedirect {
			t.preferred = string(request.URI().Host())
			return response.StatusCode(), append([]byte(nil), response.Body()...), nil
		}
		uri = string(response.Header.Peek(fasthttp.HeaderLocation))
	}
	return 0, nil, merry.Wrap(ErrNoAnswer)
}

// check counts everything wrong with a delivered step.
func (t *Trainer) check(step uint64, body []byte) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	lines := bytes.Split(bytes.TrimSpace(body), []byte("\n"))
	seen := map[uint32]bool{}
	expected := t.request(step)
	for _, line := range lines[1:] {
		var sample rollout.Sample
		if json.Unmarshal(line, &sample) != nil || sample.Step != step {
			t.counts.Wrong++
			continue
		}
		t.counts.Delivered++
		if seen[sample.Slot] {
			t.counts.Duplicate++
		}
		seen[sample.Slot] = true
		t.checkSample(&expected, sample)
	}
	t.counts.Lost += len(expected.Prompts)*expected.SamplesPerPrompt - len(seen)
}

func (t *Trainer) checkSample(expected *rollout.StepRequest, sample rollout.Sample) {
	prompt := expected.Prompts[int(sample.Slot)/expected.SamplesPerPrompt]
	if sample.Prompt != prompt || sample.Text != enginemodel.Text(prompt, 0, sample.Tokens) {
		t.counts.Wrong++
	}
	covered := 0
	for _, segment := range sample.Segments {
		if segment.Version <= 0 || segment.First != covered {
			t.counts.Unversioned++
			return
		}
		covered += segment.Count
	}
	if covered != sample.Tokens || covered == 0 {
		t.counts.Unversioned++
		return
	}
	staleness := expected.TrainVersion - stream.LowestVersion(sample.Segments)
	t.counts.Staleness = append(t.counts.Staleness, max(0, staleness))
	if staleness > t.config.Bound {
		t.counts.Stale++
	}
}
