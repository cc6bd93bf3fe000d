package rollout

import (
	"encoding/json"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/pathtally/pathtally/internal/standalone/stream"
)

// StepRequest is what a trainer submits.
type StepRequest struct {
	Step uint64 `json:"step"`
	// TrainVersion is the weight version that the step will train.
	TrainVersion     int64    `json:"train_version"`
	Prompts          []string `json:"prompts"`
	SamplesPerPrompt int      `json:"samples_per_prompt"`
	MaxTokens        int      `json:"max_tokens"`
	Seed             uint64   `json:"seed"`
}

func (r *StepRequest) valid() bool {
	return len(r.Prompts) > 0 && r.SamplesPerPrompt > 0 && r.MaxTokens > 0 && r.TrainVersion > 0
}

func (r *StepRequest) digest() uint64 {
	data, err := json.Marshal(r)
	if err != nil {
		return 0
	}
	return xxhash.Sum64(data)
}

// Sample is a finished sample as it is stored and delivered.
type Sample struct {
	Trainer  string           `json:"trainer"`
	Step     uint64           `json:"step"`
	Slot     uint32           `json:"slot"`
	Prompt   string           `json:"prompt"`
	Text     string           `json:"text"`
	Tokens   int              `json:"tokens"`
	Reason   string           `json:"finish_reason"`
	Segments []stream.Segment `json:"segments"`
	Score    float64          `json:"score"`
}

// Manifest names the samples of one revision of a step.
type Manifest struct {
	Trainer      string          `json:"trainer"`
	Step         uint64          `json:"step"`
	Revision     int             `json:"revision"`
	TrainVersion int64           `json:"train_version"`
	Samples      []ManifestEntry `json:"samples"`
}

// ManifestEntry is one slot of a manifest.
type ManifestEntry struct {
	Slot   uint32 `json:"slot"`
	Digest uint64 `json:"digest"`
	// Oldest is the least weight version that produced a token of the sample.
	Oldest int64 `json:"oldest"`
}

// phase is how far a step has come.
type phase int

const (
	phaseRecovering phase = iota
	phaseGenerating
	phaseSealing
	phaseSealed
)

// stepState is an open step.
type stepState struct {
	request  StepRequest
	digest   uint64
	phase    phase
	revision int
	slots    []*slot
	pending  []*slot
	unfilled int
	manifest *Manifest
	waiters  []*waiter
	acked    bool
	opened   time.Time
	// gathering is since when samples of the manifest are looked for.
	gathering time.Time
	// durations are of the finished attempts, for telling the tail.
	durations []time.Duration
}

// waiter is a trainer's fetch that waits for the step.
type waiter struct {
	trainVersion int64
	done         func([]byte, error)
}

// slotState is how far a slot has come.
type slotState int

const (
	slotPending slotState = iota
	slotRunning
	slotScoring
	slotStoring
	slotFilled
)

// slot is one sample of a step: prompt and index, whatever the attempt.
type slot struct {
	step     *stepState
	index    uint32
	prompt   string
	state    slotState
	attempts []*attempt
	attempt  int
	digest   uint64
	oldest   int64
	data     []byte
	copies   map[string]bool
	// notBefore delays the next attempt after a failure.
	notBefore time.Time
}

func newStepState(request StepRequest, now time.Time) *stepState {
	step := &stepState{request: request, digest: request.digest(), opened: now}
	for i := range len(request.Prompts) * request.SamplesPerPrompt {
		added := &slot{step: step, index: uint32(i), prompt: request.Prompts[i/request.SamplesPerPrompt], copies: map[string]bool{}}
		step.slots = append(step.slots, added)
	}
	step.unfilled = len(step.slots)
	return step
}

// running returns the slots with an attempt under way.
func (s *stepState) running() []*slot {
	var running []*slot
	for _, candidate := range s.slots {
		if candidate.state == slotRunning {
			running = append(running, candidate)
		}
	}
	return running
}
