package quorum

import (
	"slices"

	"github.com/pathtally/pathtally/internal/wire"
)

// HandleClaim grants, completes or withdraws a claim, and answers once that is
// durable. Completing and withdrawing are safe in any epoch, since neither
// lets anything run.
func (m *Member) HandleClaim(request *wire.ClaimRequest, reply func(wire.Message)) {
	if request.Operation == wire.ClaimGrant && !m.servesClaims(request.Epoch) {
		reply(&wire.ClaimReply{Status: wire.ClaimWrongEpoch, Epoch: m.serving})
		return
	}
	answer := m.apply(request)
	if answer.Status == wire.ClaimHeld && request.Operation == wire.ClaimGrant {
		reply(answer)
		return
	}
	m.persistClaim(m.claims[request.Key], func() { reply(answer) })
}

func (m *Member) apply(request *wire.ClaimRequest) *wire.ClaimReply {
	switch request.Operation {
	case wire.ClaimComplete:
		return m.complete(request)
	case wire.ClaimWithdraw:
		return m.withdraw(request)
	}
	return m.grant(request)
}

func (m *Member) grant(request *wire.ClaimRequest) *wire.ClaimReply {
	record := m.record(request.Key)
	if slices.Contains(record.Withdrawn, request.Attempt) {
		return m.reply(wire.ClaimWithdrawn, record)
	}
	if record.Attempt == "" {
		record.Attempt = request.Attempt
		record.Fingerprint = request.Fingerprint
	}
	// A rival from a copy may have had the majority and been dispatched.
	if record.Attempt != request.Attempt || len(record.Rivals) > 0 || record.Outcome != wire.OutcomePending {
		return m.reply(wire.ClaimHeld, record)
	}
	return m.reply(wire.ClaimGranted, record)
}

func (m *Member) complete(request *wire.ClaimRequest) *wire.ClaimReply {
	record := m.record(request.Key)
	if record.Attempt == "" {
		record.Attempt = request.Attempt
		record.Fingerprint = request.Fingerprint
	}
	if slices.Contains(record.Rivals, request.Attempt) && record.Outcome == wire.OutcomePending {
		// This attempt ran, so it had the majority and the rivals had none.
		record.Attempt, record.Fingerprint, record.Rivals = request.Attempt, request.Fingerprint, nil
	}
	if record.Attempt == request.Attempt {
		record.Outcome = request.Outcome
		record.Answer = request.Answer
	}
	return m.reply(wire.ClaimHeld, record)
}

// withdraw frees a key from an attempt that will never be dispatched, and
// remembers the attempt, since its request may still be on the way.
func (m *Member) withdraw(request *wire.ClaimRequest) *wire.ClaimReply {
	record := m.record(request.Key)
	if !slices.Contains(record.Withdrawn, request.Attempt) {
		record.Withdrawn = append(record.Withdrawn, request.Attempt)
		record.Withdrawn = record.Withdrawn[max(0, len(record.Withdrawn)-maxWithdrawn):]
	}
	dropWithdrawn(record)
	return m.reply(wire.ClaimWithdrawn, record)
}

func (m *Member) record(key string) *wire.ClaimRecord {
	record := m.claims[key]
	if record == nil {
		record = &wire.ClaimRecord{Key: key, Created: m.config.Clock.Now().UnixMilli()}
		m.claims[key] = record
	}
	return record
}

func (m *Member) reply(status uint8, record *wire.ClaimRecord) *wire.ClaimReply {
	return &wire.ClaimReply{
		Status:      status,
		Attempt:     record.Attempt,
		Fingerprint: record.Fingerprint,
		Outcome:     record.Outcome,
		Answer:      record.Answer,
		Epoch:       m.serving,
	}
}

// dropWithdrawn takes the withdrawn attempts off a claim. The key is free only
// when no attempt is left.
func dropWithdrawn(record *wire.ClaimRecord) {
	withdrawn := func(attempt string) bool { return slices.Contains(record.Withdrawn, attempt) }
	record.Rivals = slices.DeleteFunc(record.Rivals, withdrawn)
	if record.Outcome != wire.OutcomePending || !withdrawn(record.Attempt) {
		return
	}
	record.Attempt = ""
	if len(record.Rivals) > 0 {
		record.Attempt = record.Rivals[0]
		record.Rivals = record.Rivals[1:]
	}
}

// mergeClaim joins a copied claim with the one held. Where copies hold
// different attempts, any of them may have had the majority, so all are kept:
// the key stays refused until each is withdrawn or one is complete.
func (m *Member) mergeClaim(copied wire.ClaimRecord) {
	held := m.claims[copied.Key]
	if held == nil {
		m.claims[copied.Key] = &copied
		return
	}
	for _, attempt := range copied.Withdrawn {
		if !slices.Contains(held.Withdrawn, attempt) {
			held.Withdrawn = append(held.Withdrawn, attempt)
		}
	}
	switch {
	case held.Outcome != wire.OutcomePending:
	case copied.Outcome != wire.OutcomePending || held.Attempt == "":
		held.Attempt, held.Fingerprint = copied.Attempt, copied.Fingerprint
		held.Outcome, held.Answer, held.Rivals = copied.Outcome, copied.Answer, copied.Rivals
	default:
		for _, attempt := range append([]string{copied.Attempt}, copied.Rivals...) {
			if attempt != "" && attempt != held.Attempt && !slices.Contains(held.Rivals, attempt) {
				held.Rivals = append(held.Rivals, attempt)
			}
		}
	}
	dropWithdrawn(held)
	held.Created = max(held.Created, copied.Created)
}
