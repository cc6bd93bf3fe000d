package gateway

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	v1 "github.com/pathtally/pathtally/api/v1"
	"github.com/pathtally/pathtally/internal/standalone/engine"
	"github.com/pathtally/pathtally/internal/standalone/enginemodel"
	"github.com/pathtally/pathtally/internal/standalone/engineplan"
	"github.com/pathtally/pathtally/internal/standalone/node"
	"github.com/pathtally/pathtally/internal/standalone/quorum"
	"github.com/pathtally/pathtally/internal/standalone/request"
)

const (
	defaultMaxTokens = 256
	// prefixBytes is the length of the prompt prefix whose hash selects the
	// prompt cache home.
	prefixBytes = 256
	// maxKeyBytes is the maximum length of an idempotency key.
	maxKeyBytes = 256
)

func sortedNames[V any](named map[string]V) []string { return slices.Sorted(maps.Keys(named)) }

// parsedRequest is a validated completion request.
type parsedRequest struct {
	body           completionRequest
	chat           bool
	prompt         string
	maxTokens      int
	group          *engineplan.GroupPlan
	snapshot       *engineplan.Snapshot
	deadline       time.Time
	idempotencyKey string
	bodyHash       uint64
	arrived        time.Time
}

// completion serves one request. It returns true if the response is still being
// streamed when the handler returns.
func (s *Server) completion(ctx *fasthttp.RequestCtx, chat bool) bool {
	parsed, err := s.parse(ctx, chat)
	if err != nil {
		s.writeFailure(ctx, failureOf(err), OutcomeNotRun)
		return false
	}
	id := s.nextID()
	ctx.Response.Header.Set(HeaderRequestID, id)
	state := s.groups.get(parsed.snapshot, parsed.group.Group.Metadata.Name)
	wait, cancel := context.WithDeadline(context.Background(), parsed.deadline)
	defer cancel()
	if err := state.gate.Enter(wait, parsed.group.Group.Spec.Priority); err != nil {
		s.writeFailure(ctx, failureOf(err), OutcomeNotRun)
		s.recordEnd(parsed, id, OutcomeNotRun, failureOf(err).code, 0)
		return false
	}
	running := s.newCall(id, parsed, state)
	if parsed.body.Stream {
		return s.serveStream(ctx, running)
	}
	defer state.gate.Leave()
	s.serveUnary(ctx, running)
	return false
}

// parse decodes and validates a request before admission.
func (s *Server) parse(ctx *fasthttp.RequestCtx, chat bool) (*parsedRequest, error) {
	snapshot := s.config.Snapshot()
	if snapshot == nil {
		return nil, merry.Wrap(node.ErrNotReady)
	}
	parsed := &parsedRequest{chat: chat, snapshot: snapshot, arrived: time.Now(), bodyHash: xxhash.Sum64(ctx.PostBody())}
	if err := json.Unmarshal(ctx.PostBody(), &parsed.body); err != nil {
		return nil, &InputError{Status: fasthttp.StatusBadRequest, Code: codeInvalidJSON, Message: err.Error()}
	}
	model := snapshot.Models[parsed.body.Model]
	if model == nil {
		return nil, &InputError{Status: fasthttp.StatusNotFound, Code: codeModelNotFound, Param: "model", Message: "no model " + parsed.body.Model + " is declared"}
	}
	if len(ctx.PostBody()) > model.Spec.MaxBodyBytes {
		return nil, &InputError{Status: fasthttp.StatusRequestEntityTooLarge, Code: codeBodyTooLarge, Message: "the body is larger than the model allows"}
	}
	for _, check := range []func(*fasthttp.RequestCtx, *parsedRequest, *v1.Model) error{checkGroup, checkPrompt, checkDeadline, checkKey} {
		if err := check(ctx, parsed, model); err != nil {
			return nil, err
		}
	}
	return parsed, nil
}

func checkGroup(ctx *fasthttp.RequestCtx, parsed *parsedRequest, model *v1.Model) error {
	name := string(ctx.Request.Header.Peek(HeaderGroup))
	parsed.group = parsed.snapshot.DefaultGroups[model.Metadata.Name]
	if name != "" {
		parsed.group = parsed.snapshot.Groups[name]
	}
	if parsed.group == nil || parsed.group.Group.Spec.Model != model.Metadata.Name {
		return &InputError{Status: fasthttp.StatusNotFound, Code: codeGroupNotFound, Param: HeaderGroup, Message: "no traffic group " + name + " of this model is declared"}
	}
	return nil
}

func checkPrompt(_ *fasthttp.RequestCtx, parsed *parsedRequest, model *v1.Model) error {
	parsed.prompt = parsed.body.text(parsed.chat)
	if parsed.prompt == "" {
		return &InputError{Status: fasthttp.StatusBadRequest, Code: codeInvalidValue, Param: "prompt", Message: "the prompt is empty"}
	}
	if parsed.body.N != nil && *parsed.body.N != 1 {
		return &InputError{Status: fasthttp.StatusBadRequest, Code: codeInvalidValue, Param: "n", Message: "only one answer a request is served"}
	}
	prompt := enginemodel.PromptTokens(parsed.prompt)
	available := model.Spec.ContextLength - prompt
	if available <= 0 {
		return &InputError{Status: fasthttp.StatusBadRequest, Code: codeContextLength, Param: "prompt", Message: "the prompt is longer than the model's context"}
	}
	parsed.maxTokens = min(defaultMaxTokens, available)
	if parsed.body.MaxTokens != nil {
		parsed.maxTokens = *parsed.body.MaxTokens
	}
	if parsed.maxTokens <= 0 {
		return &InputError{Status: fasthttp.StatusBadRequest, Code: codeInvalidValue, Param: "max_tokens", Message: "max_tokens must be above 0"}
	}
	if parsed.maxTokens > available {
		return &InputError{Status: fasthttp.StatusBadRequest, Code: codeContextLength, Param: "max_tokens", Message: "prompt and max_tokens exceed the model's context"}
	}
	return nil
}

func checkDeadline(ctx *fasthttp.RequestCtx, parsed *parsedRequest, _ *v1.Model) error {
	timeout := parsed.group.Group.Spec.Deadline.Std()
	if text := string(ctx.Request.Header.Peek(HeaderDeadline)); text != "" {
		requested, err := time.ParseDuration(text)
		if err != nil || requested <= 0 {
			return &InputError{Status: fasthttp.StatusBadRequest, Code: codeInvalidValue, Param: HeaderDeadline, Message: "the deadline must be a duration above 0, such as 2s"}
		}
		timeout = requested
	}
	parsed.deadline = parsed.arrived.Add(min(timeout, quorum.MaxDeadline))
	return nil
}

func checkKey(ctx *fasthttp.RequestCtx, parsed *parsedRequest, _ *v1.Model) error {
	parsed.idempotencyKey = string(ctx.Request.Header.Peek(HeaderIdempotencyKey))
	if len(parsed.idempotencyKey) > maxKeyBytes {
		return &InputError{Status: fasthttp.StatusBadRequest, Code: codeInvalidValue, Param: HeaderIdempotencyKey, Message: "the key is longer than 256 bytes"}
	}
	return nil
}

func (s *Server) newCall(id string, parsed *parsedRequest, state *groupState) *call {
	name := parsed.group.Group.Metadata.Name
	return &call{
		server: s,
		id:     id,
		parsed: parsed,
		state:  state,
		done:   make(chan struct{}),
		machine: request.New(request.Config{
			Unsafe: parsed.idempotencyKey != "",
			Claim:  quorum.Claim{Key: name + "/" + parsed.idempotencyKey, Attempt: id, Fingerprint: parsed.bodyHash, Deadline: parsed.deadline},
			Request: engine.Request{
				ID:          id,
				Model:       parsed.body.Model,
				Prompt:      parsed.prompt,
				MaxTokens:   parsed.maxTokens,
				Seed:        parsed.body.Seed,
				Priority:    parsed.group.Group.Spec.Priority,
				Deadline:    parsed.deadline,
				ChunkTokens: 1,
			},
		}),
	}
}

// recordEnd updates the metrics and writes the log entry of a finished request.
func (s *Server) recordEnd(parsed *parsedRequest, id, outcome, code string, tokens int) {
	group := parsed.group.Group.Metadata.Name
	elapsed := time.Since(parsed.arrived)
	s.config.Metrics.requests.WithLabelValues(group, outcome).Inc()
	s.config.Metrics.seconds.WithLabelValues(group).Observe(elapsed.Seconds())
	s.config.Log(RequestLog{ID: id, Group: group, Model: parsed.body.Model, Outcome: outcome, Code: code, Tokens: tokens, Generation: parsed.snapshot.Generation, Elapsed: elapsed})
}
