package enginemodel

import (
	"slices"
	"time"

	"github.com/ansel1/merry/v2"
)

// Errors of Submit.
var (
	// ErrQueueFull means that the engine took nothing in.
	ErrQueueFull = merry.Sentinel("engine queue full")
	// ErrDraining means that the engine takes no new work.
	ErrDraining = merry.Sentinel("engine draining")
)

// Model is the state of one engine. It belongs to one goroutine.
type Model struct {
	parameters Parameters
	cache      *prefixCache
	waiting    []*Sequence
	running    []*Sequence
	// boundary is the end of the last step, and debt the prefill, import and
	// swap time that the next step has to bear.
	boundary time.Time
	debt     time.Duration
	version  int64
	draining bool
	outputs  []Output
}

// New returns an idle engine with a weight version.
func New(parameters Parameters, version int64) *Model {
	return &Model{parameters: parameters, cache: newPrefixCache(parameters.PrefixCacheTokens), version: version}
}

// Version is the active weight version.
func (m *Model) Version() int64 { return m.version }

// Running and Waiting count the sequences.
func (m *Model) Running() int { return len(m.running) }

// Waiting counts the sequences not yet decoding.
func (m *Model) Waiting() int { return len(m.waiting) }

// Draining tells whether new work is refused.
func (m *Model) Draining() bool { return m.draining }

// SetDraining starts or ends the refusal of new work.
func (m *Model) SetDraining(draining bool) { m.draining = draining }

// Submit takes a sequence in; an error means that it was not admitted.
func (m *Model) Submit(now time.Time, sequence Sequence) error {
	if m.draining {
		return merry.Wrap(ErrDraining)
	}
	if len(m.waiting) >= m.parameters.MaxWaiting {
		return merry.Wrap(ErrQueueFull)
	}
	m.Advance(now)
	sequence.arrived = now
	sequence.reported = sequence.Produced
	sequence.ChunkTokens = max(1, sequence.ChunkTokens)
	m.enqueue(&sequence)
	m.fill(now)
	return nil
}

// enqueue keeps the queue ordered by priority, then by arrival.
func (m *Model) enqueue(sequence *Sequence) {
	position, _ := slices.BinarySearchFunc(m.waiting, sequence, func(held, added *Sequence) int {
		if held.Priority != added.Priority {
			return added.Priority - held.Priority
		}
		if held.arrived.After(added.arrived) {
			return 1
		}
		return -1
	})
	m.waiting = slices.Insert(m.waiting, position, sequence)
}

// fill moves sequences into the batch, and lets a waiting one of greater
// priority take the place of the least running one.
func (m *Model) fill(now time.Time) {
	if len(m.running) == 0 && m.boundary.Before(now) {
		m.boundary = now
	}
	for len(m.waiting) > 0 {
		first := m.waiting[0]
		if len(m.running) >= m.parameters.Slots && !m.preempt(first.Priority) {
			return
		}
		m.waiting = slices.Delete(m.waiting, slices.Index(m.waiting, first), slices.Index(m.waiting, first)+1)
		m.debt += m.entryCost(first)
		first.version = m.version
		m.running = append(m.running, first)
	}
}

// preempt puts the running sequence of least priority back in the queue.
func (m *Model) preempt(priority int) bool {
	least := -1
	for i, sequence := range m.running {
		if sequence.Priority < priority && (least < 0 || sequence.Priority < m.running[least].Priority) {
			least = i
		}
	}
	if least < 0 {
		return false
	}
	victim := m.running[least]
	m.report(victim, false)
	victim.Imported = false
	m.running = slices.Delete(m.running, least, least+1)
	m.enqueue(victim)
	return true
}

// entryCost is the prefill or the import of KV cache.
func (m *Model) entryCost(sequence *Sequence) time.Duration {
	if sequence.Imported {
		return time.Duration(sequence.context()) * m.parameters.TransferPerToken.Std()
	}
	tokens := sequence.context()
	if m.cache.touch(sequence.PrefixHash, sequence.PromptTokens) {
		tokens = sequence.Produced
	}
	return time.Duration(tokens) * m.parameters.PrefillPerToken.Std()
}

// stepDuration is how long one token of every running sequence takes.
func (m *Model) stepDuration() time.Duration {
	context := 0
	for _, sequence := range m.running {
		context += sequence.context()
	}
	return m.parameters.StepBase.Std() +
		time.Duration(len(m.running))*m.parameters.StepPerSequence.Std() +
		time.Duration(context)*m.parameters.StepPerThousandContext.Std()/1000
}

// Next returns when there will be output, or false while the engine is idle.
func (m *Model) Next() (time.Time, bool) {
	if len(m.outputs) > 0 {
		return m.boundary, true
	}
	if len(m.running) == 0 {
		return time.Time{}, false
	}
	return m.boundary.Add(m.debt + time.Duration(m.stepsToEvent())*m.stepDuration()), true
}

// stepsToEvent is the number of steps until some sequence reports a chunk.
func (m *Model) stepsToEvent() int {
	steps := 0
	for _, sequence := range m.running {
		left := min(sequence.ChunkTokens-(sequence.Produced-sequence.reported), sequence.Target-sequence.Produced)
		left = max(1, left)
		if steps == 0 || left < steps {
			steps = left
		}
	}
	return steps
}

// Advance computes all steps that end by now.
func (m *Model) Advance(now time.Time) {
	for len(m.running) > 0 {
		duration := m.stepDuration()
		available := now.Sub(m.boundary) - m.debt
		if available < duration {
			return
		}
		steps := min(m.stepsToEvent(), int(available/duration))
		m.boundary = m.boundary.Add(m.debt + time.Duration(steps)*duration)
		m.debt = 0
		m.produce(steps)
		m.fill(m.boundary)
	}
}

func (m *Model) produce(steps int) {
	still := m.running[:0]
	for _, sequence := range m.running {
		sequence.Produced += steps
		ended := sequence.Produced >= sequence.Target
		if ended || sequence.Produced-sequence.reported >= sequence.ChunkTokens {
			m.report(sequence, ended)
		}
		if !ended {
			still = append(still, sequence)
		}
	}
	clear(m.running[len(still):])
	m.running = still
}

// report emits the tokens produced since the last report.
func (m *Model) report(sequence *Sequence, ended bool) {
	count := sequence.Produced - sequence.reported
	if count == 0 && !ended {
		return
	}
	m.outputs = append(m.outputs, Output{ID: sequence.ID, First: sequence.reported, Count: count, Version: sequence.version, Ended: ended, At: m.boundary})
	sequence.reported = sequence.Produced
}

// Take returns the outputs since the last call.
func (m *Model) Take() []Output {
	outputs := m.outputs
	m.outputs = nil
	return outputs
}

// Cancel removes a sequence and tells whether it was there.
func (m *Model) Cancel(id string) bool {
	_, found := m.Export(id)
	return found
}

// Export removes a sequence so that another engine can go on with it.
func (m *Model) Export(id string) (Sequence, bool) {
	for _, list := range []*[]*Sequence{&m.running, &m.waiting} {
		for i, sequence := range *list {
			if sequence.ID != id {
				continue
			}
			m.report(sequence, false)
			*list = slices.Delete(*list, i, i+1)
			return *sequence, true
		}
	}
	return Sequence{}, false
}

// IDs lists every sequence, running ones first.
func (m *Model) IDs() []string {
	var ids []string
	for _, sequence := range m.running {
		ids = append(ids, sequence.ID)
	}
	for _, sequence := range m.waiting {
		ids = append(ids, sequence.ID)
	}
	return ids
}

// Activate swaps the weights: what was produced so far is reported under the
// old version, decoding pauses, and sequences go on under the new one.
func (m *Model) Activate(now time.Time, version int64) {
	m.Advance(now)
	if m.boundary.Before(now) {
		m.boundary = now
	}
	for _, sequence := range m.running {
		m.report(sequence, false)
		sequence.version = version
	}
	m.version = version
	m.debt += m.parameters.SwapPause.Std()
	m.cache.clear()
}
