package batch

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/pathtally/pathtally/internal/environment"
	"github.com/pathtally/pathtally/internal/wire"
)

const (
	// peerMargin is what an answer of another node may take beyond the time
	// that a reader waits.
	peerMargin = 700 * time.Millisecond
	// settleWait is for how much longer a reader waits where results are on their way
	// into the store: as long as a create takes whose first answer was lost.
	settleWait = 500 * time.Millisecond
	// endTime bounds one question to the owner of a job that is to be ended.
	endTime = 800 * time.Millisecond
)

// Page is a part of a job's results.
type Page struct {
	Total   int
	Results []Result
}

// Read returns the results after a position, waiting for one at most as long
// as told. ErrNoSuchJob is certain; other errors mean that this node cannot
// tell.
func (s *Service) Read(ctx context.Context, id string, after int, patience time.Duration) (Page, error) {
	page, err := s.readHeld(ctx, id, after, patience)
	if !errors.Is(err, errNotHeld) {
		return page, err
	}
	if page, final := s.readFinal(id, after); final {
		return page, nil
	}
	owner, known := s.ownerOf(id)
	if known {
		page, err := s.readFrom(ctx, owner, id, after, patience)
		if err == nil || errors.Is(err, ErrUnsettled) {
			return page, err
		}
	}
	standing, err := s.config.Journal.Look(ctx, id)
	if err != nil {
		return Page{}, err
	}
	if standing.Record.Owner != owner && standing.Record.Owner != s.config.Self {
		page, err := s.readFrom(ctx, standing.Record.Owner, id, after, patience)
		if err == nil || errors.Is(err, ErrUnsettled) {
			return page, err
		}
	}
	return s.readStored(ctx, standing, after)
}

// readHeld reads a job that this node runs. The error is errNotHeld, or ErrUnsettled
// where this node cannot tell what stands at the position.
func (s *Service) readHeld(ctx context.Context, id string, after int, patience time.Duration) (Page, error) {
	limit := time.NewTimer(patience)
	defer limit.Stop()
	settled := time.NewTimer(patience + settleWait)
	defer settled.Stop()
	for waited := false; ; {
		s.mutex.Lock()
		held := s.jobs[id]
		if held == nil || held.suspect {
			s.mutex.Unlock()
			return Page{}, errNotHeld
		}
		page := held.pageAfter(after)
		changed, open, unsettled := held.changed, held.open(), held.isUnsettled()
		s.mutex.Unlock()
		switch {
		case len(page.Results) > 0:
			return page, nil
		case !unsettled && (waited || !open):
			return page, nil
		case ctx.Err() != nil:
			return Page{}, ErrUnsettled
		}
		select {
		case <-changed:
		case <-limit.C:
			waited = true
		case <-settled.C:
			return Page{}, ErrUnsettled
		case <-ctx.Done():
			waited = true
		}
	}
}

// pageAfter is the page of the listed results behind a position. The mutex must be
// held.
func (j *job) pageAfter(after int) Page {
	return pageAfter(j.listed[:len(j.listed):len(j.listed)], after, len(j.items))
}

// ownerOf tells which other node runs a job.
func (s *Service) ownerOf(id string) (Owner, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	standing := s.known[id]
	if standing == nil {
		return Owner{}, false
	}
	return standing.owner, true
}

// readFrom reads a job from the node that runs it. The error is ErrUnsettled where
// that node has said so.
func (s *Service) readFrom(ctx context.Context, owner Owner, id string, after int, patience time.Duration) (Page, error) {
	question := &wire.JobRead{Job: id, After: uint32(after), WaitMs: uint32(patience.Milliseconds())}
	message, err := environment.Ask(ctx, s.config.Peers, owner.Address, question, patience+peerMargin)
	if err != nil {
		return Page{}, err
	}
	if failure, failed := message.(*wire.Failure); failed && failure.Code == uint16(wire.CodeUncertain) {
		return Page{}, ErrUnsettled
	}
	page, ok := message.(*wire.JobPage)
	if !ok || !page.Known {
		return Page{}, ErrDisplaced
	}
	read := Page{Total: int(page.Total)}
	return read, json.Unmarshal(page.Results, &read.Results)
}

// Body returns the body of an item. ErrNoSuchJob and ErrNoSuchItem are certain.
func (s *Service) Body(ctx context.Context, id, itemID string) ([]byte, error) {
	s.mutex.Lock()
	held := s.jobs[id]
	s.mutex.Unlock()
	if held != nil {
		return bodyOf(held.submission, itemID)
	}
	if owner, known := s.ownerOf(id); known {
		message, err := environment.Ask(ctx, s.config.Peers, owner.Address, &wire.JobItem{Job: id, Item: itemID}, peerMargin)
		if body, ok := message.(*wire.JobItemBody); ok && err == nil && body.Known {
			if !body.Found {
				return nil, ErrNoSuchItem
			}
			return body.Body, nil
		}
	}
	standing, err := s.config.Journal.Look(ctx, id)
	if err != nil {
		return nil, err
	}
	payload, err := s.config.Journal.Payload(ctx, id, standing.Record.Parts)
	if err != nil {
		return nil, err
	}
	submission, err := s.config.Codec.Submission(payload)
	if err != nil {
		return nil, err
	}
	return bodyOf(submission, itemID)
}

func bodyOf(submission *Submission, itemID string) ([]byte, error) {
	for _, submitted := range submission.Items {
		if submitted.ID == itemID {
			return submitted.Body, nil
		}
	}
	return nil, ErrNoSuchItem
}
