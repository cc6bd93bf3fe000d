package batch

import (
	"context"
	"time"

	"github.com/pathtally/pathtally/internal/wire"
)

// Answer handles another node's request about a batch job. It returns false for messages
// of other kinds.
func (s *Service) Answer(message wire.Message, reply func(wire.Message)) bool {
	switch request := message.(type) {
	case *wire.JobRead:
		reply(s.answerRead(request))
	case *wire.JobItem:
		reply(s.answerItem(request))
	case *wire.JobFind:
		reply(s.answerFind(request))
	case *wire.JobEnd:
		s.answerEnd(request, reply)
	case *wire.JobOffer:
		s.answerOffer(reply)
	case *wire.JobSubmit:
		s.answerSubmit(request, reply)
	default:
		return false
	}
	return true
}

func (s *Service) answerRead(request *wire.JobRead) *wire.JobPage {
	wait := time.Duration(request.WaitMs) * time.Millisecond
	page, held := s.readHeld(s.base, request.Job, int(request.After), wait)
	if !held {
		ctx, cancel := context.WithTimeout(s.base, peerReplyMargin)
		defer cancel()
		if page, held = s.readEndedForPeer(ctx, request.Job, int(request.After)); !held {
			return &wire.JobPage{}
		}
	}
	results, err := encodeResults(page.Results)
	if err != nil {
		return &wire.JobPage{}
	}
	return &wire.JobPage{Known: true, Total: uint32(page.Total), Results: results}
}

func (s *Service) answerItem(request *wire.JobItem) *wire.JobItemBody {
	s.mutex.Lock()
	held := s.jobs[request.Job]
	s.mutex.Unlock()
	if held == nil {
		return &wire.JobItemBody{}
	}
	body, err := bodyOf(held.submission, request.Item)
	return &wire.JobItemBody{Known: true, Found: err == nil, Body: body}
}

func (s *Service) answerEnd(request *wire.JobEnd, reply func(wire.Message)) {
	s.mutex.Lock()
	held := s.jobs[request.Job]
	s.mutex.Unlock()
	if held == nil {
		reply(&wire.Failure{Detail: "the job is not run here"})
		return
	}
	ctx, cancel := context.WithTimeout(s.base, ownerEndTimeout)
	defer cancel()
	if err := s.End(ctx, request.Job); err != nil {
		reply(&wire.Failure{Detail: err.Error()})
		return
	}
	reply(&wire.Done{})
}
