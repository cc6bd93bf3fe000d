package batch

import (
	"context"
	"time"

	"github.com/pathtally/pathtally/internal/wire"
)

// HandleMessage handles another node's request about a batch job. It returns false for
// messages of other kinds.
func (s *Service) HandleMessage(message wire.Message, reply func(wire.Message)) bool {
	switch request := message.(type) {
	case *wire.JobRead:
		reply(s.handleRead(request))
	case *wire.JobItem:
		reply(s.handleItem(request))
	case *wire.JobFind:
		reply(s.handleFind(request))
	case *wire.JobEnd:
		s.handleEnd(request, reply)
	case *wire.JobOffer:
		s.handleOffer(reply)
	case *wire.JobSubmit:
		s.handleSubmit(request, reply)
	default:
		return false
	}
	return true
}

func (s *Service) handleRead(request *wire.JobRead) *wire.JobPage {
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

func (s *Service) handleItem(request *wire.JobItem) *wire.JobItemBody {
	s.mutex.Lock()
	held := s.jobs[request.Job]
	s.mutex.Unlock()
	if held == nil {
		return &wire.JobItemBody{}
	}
	body, err := bodyOf(held.submission, request.Item)
	return &wire.JobItemBody{Known: true, Found: err == nil, Body: body}
}

func (s *Service) handleEnd(request *wire.JobEnd, reply func(wire.Message)) {
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
