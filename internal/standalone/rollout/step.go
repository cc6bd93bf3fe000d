package rollout

import (
	"encoding/json"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/pathtally/pathtally/internal/standalone/stream"
)

// StepRequest is a trainer's submission of a step.
type StepRequest struct {
	Step uint64 `json:"step"`
	// TrainVersion is the weight version that the step trains.
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
	Trainer      string           `json:"trainer"`
	Step         uint64           `json:"step"`
	Slot         uint32           `json:"slot"`
	Prompt       string           `json:"prompt"`
	Text         string           `json:"text"`
	Tokens       int              `json:"tokens"`
	FinishReason string           `json:"finish_reason"`
	Segments     []stream.Segment `json:"segments"`
	Score        float64          `json:"score"`
}

// Manifest lists the samples of one revision of a step.
type Manifest struct {
	Trainer      string          `json:"trainer"`
	Step         uint64          `json:"step"`
	Revision     int             `json:"revision"`
	TrainVersion int64           `json:"train_version"`
	Samples      []ManifestEntry `json:"samples"`
}

// ManifestEntry identifies the sample of one slot.
type ManifestEntry struct {
	Slot   uint32 `json:"slot"`
	Digest uint64 `json:"digest"`
	// OldestVersion is the lowest weight version that generated a token of
	// the sample.
	OldestVersion int64 `json:"oldest"`
}

// phase is the processing phase of a step.
type phase int

const (
	phaseRecovering phase = iota
	phaseGenerating
	phaseSealing
	phaseSealed
)

// stepState is the state of a step in memory.
type stepState struct {
	request  StepRequest
	digest   uint64
	phase    phase
	revision int
	slots    []*slot
	pending  []*slot
	// unfilled is the number of slots not yet filled.
	unfilled int
	manifest *Manifest
	waiters  []*waiter
	acked    bool
	opened   time.Time
	// fetchingSince is when the search for missing samples of the manifest
	// began.
	fetchingSince time.Time
	// durations are those of finished attempts; their median detects late
	// samples.
	durations []time.Duration
}

// waiter is a fetch that waits for the step.
type waiter struct {
	trainVersion int64
	done         func([]byte, error)
}

// slotState is the processing state of a slot.
type slotState int

const (
	slotPending slotState = iota
	slotRunning
	slotScoring
	slotStoring
	slotFilled
)

// slot is the place of one sample in a step, independent of its attempts.
type slot struct {
	step     *stepState
	index    uint32
	prompt   string
	state    slotState
	attempts []*attempt
	// lastAttempt is the number of the latest attempt.
	lastAttempt   int
	digest        uint64
	oldestVersion int64
	data          []byte
	// copies are the keys of the stores that hold the sample; see storeKey.
	copies map[string]bool
	// notBefore is the earliest time of the next attempt.
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

// runningSlots returns the slots in state slotRunning.
func (s *stepState) runningSlots() []*slot {
	var running []*slot
	for _, candidate := range s.slots {
		if candidate.state == slotRunning {
			running = append(running, candidate)
		}
	}
	return running
}
