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
	// prefixBytes is how much of a prompt decides its cache home.
	prefixBytes = 256
	// maxKeyBytes bounds an idempotency key.
	maxKeyBytes = 256
)

func sortedNames[V any](named map[string]V) []string { return slices.Sorted(maps.Keys(named)) }

// parsed is a completion request that has been checked.
type parsed struct {
	body     completionRequest
	chat     bool
	prompt   string
	tokens   int
	group    *engineplan.GroupPlan
	snapshot *engineplan.Snapshot
	deadline time.Time
	key      string
	raw      uint64
	arrived  time.Time
}

// completion serves one request; true means that the answer is still being
// streamed when the handler returns.
func (s *Server) completion(ctx *fasthttp.RequestCtx, chat bool) bool {
	checked, err := s.parse(ctx, chat)
	if err != nil {
		s.writeFailure(ctx, failureOf(err), OutcomeNotRun)
		return false
	}
	id := s.nextID()
	ctx.Response.Header.Set(HeaderRequestID, id)
	state := s.groups.get(checked.snapshot, checked.group.Group.Metadata.Name)
	wait, cancel := context.WithDeadline(context.Background(), checked.deadline)
	defer cancel()
	if err := state.gate.Enter(wait, checked.group.Group.Spec.Priority); err != nil {
		s.writeFailure(ctx, failureOf(err), OutcomeNotRun)
		s.ended(checked, id, OutcomeNotRun, failureOf(err).code, 0)
		return false
	}
	running := s.newCall(id, checked, state)
	if checked.body.Stream {
		return s.streamed(ctx, running)
	}
	defer state.gate.Leave()
	s.whole(ctx, running)
	return false
}

// parse checks everything about a request that can be checked before it is
// admitted.
func (s *Server) parse(ctx *fasthttp.RequestCtx, chat bool) (*parsed, error) {
	snapshot := s.config.Snapshot()
	if snapshot == nil {
		return nil, merry.Wrap(node.ErrNotReady)
	}
	checked := &parsed{chat: chat, snapshot: snapshot, arrived: time.Now(), raw: xxhash.Sum64(ctx.PostBody())}
	if err := json.Unmarshal(ctx.PostBody(), &checked.body); err != nil {
		return nil, &InputError{Status: fasthttp.StatusBadRequest, Code: codeInvalidJSON, Message: err.Error()}
	}
	model := snapshot.Models[checked.body.Model]
	if model == nil {
		return nil, &InputError{Status: fasthttp.StatusNotFound, Code: codeModelNotFound, Param: "model", Message: "no model " + checked.body.Model + " is declared"}
	}
	if len(ctx.PostBody()) > model.Spec.MaxBodyBytes {
		return nil, &InputError{Status: fasthttp.StatusRequestEntityTooLarge, Code: codeBodyTooLarge, Message: "the body is larger than the model allows"}
	}
	for _, check := range []func(*fasthttp.RequestCtx, *parsed, *v1.Model) error{checkGroup, checkPrompt, checkDeadline, checkKey} {
		if err := check(ctx, checked, model); err != nil {
			return nil, err
		}
	}
	return checked, nil
}

func checkGroup(ctx *fasthttp.RequestCtx, checked *parsed, model *v1.Model) error {
	name := string(ctx.Request.Header.Peek(HeaderGroup))
	checked.group = checked.snapshot.DefaultGroups[model.Metadata.Name]
	if name != "" {
		checked.group = checked.snapshot.Groups[name]
	}
	if checked.group == nil || checked.group.Group.Spec.Model != model.Metadata.Name {
		return &InputError{Status: fasthttp.StatusNotFound, Code: codeGroupNotFound, Param: HeaderGroup, Message: "no traffic group " + name + " of this model is declared"}
	}
	return nil
}

func checkPrompt(_ *fasthttp.RequestCtx, checked *parsed, model *v1.Model) error {
	checked.prompt = checked.body.text(checked.chat)
	if checked.prompt == "" {
		return &InputError{Status: fasthttp.StatusBadRequest, Code: codeInvalidValue, Param: "prompt", Message: "the prompt is empty"}
	}
	if checked.body.N != nil && *checked.body.N != 1 {
		return &InputError{Status: fasthttp.StatusBadRequest, Code: codeInvalidValue, Param: "n", Message: "only one answer a request is served"}
	}
	prompt := enginemodel.PromptTokens(checked.prompt)
	room := model.Spec.ContextLength - prompt
	if room <= 0 {
		return &InputError{Status: fasthttp.StatusBadRequest, Code: codeContextLength, Param: "prompt", Message: "the prompt is longer than the model's context"}
	}
	checked.tokens = min(defaultMaxTokens, room)
	if checked.body.MaxTokens != nil {
		checked.tokens = *checked.body.MaxTokens
	}
	if checked.tokens <= 0 {
		return &InputError{Status: fasthttp.StatusBadRequest, Code: codeInvalidValue, Param: "max_tokens", Message: "max_tokens must be above 0"}
	}
	if checked.tokens > room {
		return &InputError{Status: fasthttp.StatusBadRequest, Code: codeContextLength, Param: "max_tokens", Message: "prompt and max_tokens exceed the model's context"}
	}
	return nil
}

func checkDeadline(ctx *fasthttp.RequestCtx, checked *parsed, _ *v1.Model) error {
	span := checked.group.Group.Spec.Deadline.Std()
	if text := string(ctx.Request.Header.Peek(HeaderDeadline)); text != "" {
		given, err := time.ParseDuration(text)
		if err != nil || given <= 0 {
			return &InputError{Status: fasthttp.StatusBadRequest, Code: codeInvalidValue, Param: HeaderDeadline, Message: "the deadline must be a duration above 0, such as 2s"}
		}
		span = given
	}
	checked.deadline = checked.arrived.Add(min(span, quorum.MaxDeadline))
	return nil
}

func checkKey(ctx *fasthttp.RequestCtx, checked *parsed, _ *v1.Model) error {
	checked.key = string(ctx.Request.Header.Peek(HeaderIdempotencyKey))
	if len(checked.key) > maxKeyBytes {
		return &InputError{Status: fasthttp.StatusBadRequest, Code: codeInvalidValue, Param: HeaderIdempotencyKey, Message: "the key is longer than 256 bytes"}
	}
	return nil
}

func (s *Server) newCall(id string, checked *parsed, state *groupState) *call {
	name := checked.group.Group.Metadata.Name
	return &call{
		server:  s,
		id:      id,
		checked: checked,
		state:   state,
		done:    make(chan struct{}),
		machine: request.New(request.Config{
			Unsafe: checked.key != "",
			Claim:  quorum.Claim{Key: name + "/" + checked.key, Attempt: id, Fingerprint: checked.raw, Deadline: checked.deadline},
			Request: engine.Request{
				ID:          id,
				Model:       checked.body.Model,
				Prompt:      checked.prompt,
				MaxTokens:   checked.tokens,
				Seed:        checked.body.Seed,
				Priority:    checked.group.Group.Spec.Priority,
				Deadline:    checked.deadline,
				ChunkTokens: 1,
			},
		}),
	}
}

// ended counts and logs the end of a request.
func (s *Server) ended(checked *parsed, id, outcome, code string, tokens int) {
	group := checked.group.Group.Metadata.Name
	elapsed := time.Since(checked.arrived)
	s.config.Metrics.requests.WithLabelValues(group, outcome).Inc()
	s.config.Metrics.seconds.WithLabelValues(group).Observe(elapsed.Seconds())
	s.config.Log(RequestLog{ID: id, Group: group, Model: checked.body.Model, Outcome: outcome, Code: code, Tokens: tokens, Generation: checked.snapshot.Generation, Elapsed: elapsed})
}
