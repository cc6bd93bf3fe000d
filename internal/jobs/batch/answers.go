package batch

import (
	"context"
	"time"

	"github.com/pathtally/pathtally/internal/wire"
)

// Answer handles another node's request about a batch job. It returns false for messages
// of other kinds.
func (s *Service) Answer(message wire.Message, reply func(wire.Message)) bool {
	switch question := message.(type) {
	case *wire.JobRead:
		reply(s.answerRead(question))
	case *wire.JobItem:
		reply(s.answerItem(question))
	case *wire.JobFind:
		reply(s.answerFind(question))
	case *wire.JobEnd:
		s.answerEnd(question, reply)
	case *wire.JobOffer:
		s.answerOffer(reply)
	case *wire.JobSubmit:
		s.answerSubmit(question, reply)
	default:
		return false
	}
	return true
}

func (s *Service) answerRead(question *wire.JobRead) *wire.JobPage {
	wait := time.Duration(question.WaitMs) * time.Millisecond
	page, held := s.readHeld(s.base, question.Job, int(question.After), wait)
	if !held {
		ctx, cancel := context.WithTimeout(s.base, peerMargin)
		defer cancel()
		if page, held = s.readEndedFor(ctx, question.Job, int(question.After)); !held {
			return &wire.JobPage{}
		}
	}
	results, err := encodeResults(page.Results)
	if err != nil {
		return &wire.JobPage{}
	}
	return &wire.JobPage{Known: true, Total: uint32(page.Total), Results: results}
}

func (s *Service) answerItem(question *wire.JobItem) *wire.JobItemBody {
	s.mutex.Lock()
	held := s.jobs[question.Job]
	s.mutex.Unlock()
	if held == nil {
		return &wire.JobItemBody{}
	}
	body, err := bodyOf(held.submission, question.Item)
	return &wire.JobItemBody{Known: true, Found: err == nil, Body: body}
}

func (s *Service) answerEnd(question *wire.JobEnd, reply func(wire.Message)) {
	s.mutex.Lock()
	held := s.jobs[question.Job]
	s.mutex.Unlock()
	if held == nil {
		reply(&wire.Failure{Detail: "the job is not run here"})
		return
	}
	ctx, cancel := context.WithTimeout(s.base, ownerEndTimeout)
	defer cancel()
	if err := s.End(ctx, question.Job); err != nil {
		reply(&wire.Failure{Detail: err.Error()})
		return
	}
	reply(&wire.Done{})
}
