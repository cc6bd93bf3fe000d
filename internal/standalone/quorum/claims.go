package quorum

import (
	"slices"

	"github.com/pathtally/pathtally/internal/wire"
)

// HandleClaim grants, completes or withdraws a claim and replies once the change
// is durable. Completing and withdrawing are safe in any epoch, since neither
// permits a dispatch.
func (m *Member) HandleClaim(request *wire.ClaimRequest, reply func(wire.Message)) {
	if request.Operation == wire.ClaimGrant && !m.grantsClaims(request.Epoch) {
		reply(&wire.ClaimReply{Status: wire.ClaimWrongEpoch, Epoch: m.serving})
		return
	}
	result := m.applyClaim(request)
	if result.Status == wire.ClaimHeld && request.Operation == wire.ClaimGrant {
		reply(result)
		return
	}
	m.persistClaim(m.claims[request.Key], func() { reply(result) })
}

func (m *Member) applyClaim(request *wire.ClaimRequest) *wire.ClaimReply {
	switch request.Operation {
	case wire.ClaimComplete:
		return m.complete(request)
	case wire.ClaimWithdraw:
		return m.withdraw(request)
	}
	return m.grant(request)
}

// grant gives a free key to the attempt. The attempt that holds the key is
// granted again unless it has completed or another one may have a majority.
func (m *Member) grant(request *wire.ClaimRequest) *wire.ClaimReply {
	record := m.claim(request.Key)
	if slices.Contains(record.Withdrawn, request.Attempt) {
		return m.reply(wire.ClaimWithdrawn, record)
	}
	if record.Attempt == "" {
		record.Attempt = request.Attempt
		record.Fingerprint = request.Fingerprint
	}
	// A conflicting attempt from a copied record may have had the majority and
	// been dispatched.
	if record.Attempt != request.Attempt || len(record.Rivals) > 0 || record.Outcome != wire.OutcomePending {
		return m.reply(wire.ClaimHeld, record)
	}
	return m.reply(wire.ClaimGranted, record)
}

// complete stores the outcome of an attempt that was dispatched.
func (m *Member) complete(request *wire.ClaimRequest) *wire.ClaimReply {
	record := m.claim(request.Key)
	if record.Attempt == "" {
		record.Attempt = request.Attempt
		record.Fingerprint = request.Fingerprint
	}
	if slices.Contains(record.Rivals, request.Attempt) && record.Outcome == wire.OutcomePending {
		// This attempt ran, so it had the majority and no other attempt did.
		record.Attempt, record.Fingerprint, record.Rivals = request.Attempt, request.Fingerprint, nil
	}
	if record.Attempt == request.Attempt {
		record.Outcome = request.Outcome
		record.Answer = request.Answer
	}
	return m.reply(wire.ClaimHeld, record)
}

// withdraw frees the key of an attempt that will never be dispatched. It records
// the attempt, since a grant request for it may still arrive.
func (m *Member) withdraw(request *wire.ClaimRequest) *wire.ClaimReply {
	record := m.claim(request.Key)
	if !slices.Contains(record.Withdrawn, request.Attempt) {
		record.Withdrawn = append(record.Withdrawn, request.Attempt)
		record.Withdrawn = record.Withdrawn[max(0, len(record.Withdrawn)-maxWithdrawnAttempts):]
	}
	removeWithdrawn(record)
	return m.reply(wire.ClaimWithdrawn, record)
}

// claim returns the record of a key and creates it if there is none.
func (m *Member) claim(key string) *wire.ClaimRecord {
	record := m.claims[key]
	if record == nil {
		record = &wire.ClaimRecord{Key: key, Created: m.config.Clock.Now().UnixMilli()}
		m.claims[key] = record
	}
	return record
}

// reply returns a reply with the current state of a claim.
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

// removeWithdrawn removes the withdrawn attempts from a claim. The key is free
// only when no attempt is left.
func removeWithdrawn(record *wire.ClaimRecord) {
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

// mergeClaim merges a copied claim into the local one. If the two have different
// attempts, either may have had the majority, so both are kept: neither is
// granted again before the other is withdrawn, and the key is free only once
// both are. If one attempt is complete, its outcome is kept.
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
	removeWithdrawn(held)
	held.Created = max(held.Created, copied.Created)
}
