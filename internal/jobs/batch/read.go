package batch

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pathtally/pathtally/internal/environment"
	"github.com/pathtally/pathtally/internal/jobs/jobstore"
	"github.com/pathtally/pathtally/internal/wire"
)

const (
	// peerReplyMargin is the time allowed for another node's reply, in addition to the
	// time that a reader asks to wait.
	peerReplyMargin = 700 * time.Millisecond
	// pendingAppendReadTimeout bounds a read of the chunk being appended. It is short
	// enough that a reply to another node stays within peerReplyMargin.
	pendingAppendReadTimeout = 500 * time.Millisecond
	// ownerEndTimeout bounds a request to a job's owner to end it.
	ownerEndTimeout = 800 * time.Millisecond
)

// Page is a part of a job's results.
type Page struct {
	Total   int
	Results []jobstore.Result
}

// Read returns the results after a position. If there are none, it waits up to the given
// time for some. jobstore.ErrNoSuchJob means that the job does not exist; other errors
// mean that this node could not find out.
func (s *Service) Read(ctx context.Context, id string, after int, wait time.Duration) (Page, error) {
	if page, held := s.readHeld(ctx, id, after, wait); held {
		return page, nil
	}
	if page, sealed := s.readSealed(id, after); sealed {
		return page, nil
	}
	owner, known := s.ownerOf(ctx, id)
	if known {
		if page, err := s.readFromOwner(ctx, owner, id, after, wait); err == nil {
			return page, nil
		}
	}
	stored, err := s.config.JobStore.Read(ctx, id)
	if err != nil {
		return Page{}, err
	}
	if stored.Record.Owner != owner && stored.Record.Owner != s.config.Self {
		if page, err := s.readFromOwner(ctx, stored.Record.Owner, id, after, wait); err == nil {
			return page, nil
		}
	}
	return s.readStored(ctx, stored, after)
}

// readHeld reads a job that this node runs from memory. It returns false if this node
// does not run the job or cannot rely on its memory, so that the store must be read.
func (s *Service) readHeld(ctx context.Context, id string, after int, wait time.Duration) (Page, bool) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for waiting := true; ; {
		s.mutex.Lock()
		held := s.jobs[id]
		if !held.canServeReads() {
			s.mutex.Unlock()
			return Page{}, false
		}
		page, listed, chunks := held.pageAfter(after), len(held.listed), held.chunks
		changed, open, overdue := held.changed, held.open(), held.isAppendOverdue()
		s.mutex.Unlock()
		switch {
		case len(page.Results) > 0 || !open:
			return page, true
		case !waiting && overdue:
			pending, err := s.readPendingAppend(ctx, id, chunks, after-listed)
			if err != nil {
				return s.readListed(id, after)
			}
			page.Results = pending
			return page, true
		case !waiting:
			return page, true
		}
		select {
		case <-changed:
		case <-timer.C:
			waiting = false
		case <-ctx.Done():
			waiting = false
		}
	}
}

// readListed reads the listed results of a job that this node runs. It returns false if
// there are none after the position and the response to an append is overdue, since other
// readers may have got the results of that append.
func (s *Service) readListed(id string, after int) (Page, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	held := s.jobs[id]
	if !held.canServeReads() {
		return Page{}, false
	}
	page := held.pageAfter(after)
	return page, len(page.Results) > 0 || !held.isAppendOverdue()
}

// readPendingAppend reads the chunks from an index on, and returns their results without
// the first ones, which the reader has. The store may have applied an append whose
// response this node did not get, and other readers may have seen its results.
func (s *Service) readPendingAppend(ctx context.Context, id string, chunks, after int) ([]jobstore.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, pendingAppendReadTimeout)
	defer cancel()
	pending, err := s.config.JobStore.Results(s.withHeldRegionBounds(ctx, id), id, chunks)
	if err != nil {
		s.config.Logger.Info("results of a pending append not read", "request", id, "chunk", chunks, "error", err.Error())
		return nil, err
	}
	return pageAfter(pending.Results, after, 0).Results, nil
}

// pageAfter returns the listed results after a position. The mutex must be held.
func (j *job) pageAfter(after int) Page {
	return pageAfter(j.listed[:len(j.listed):len(j.listed)], after, len(j.items))
}

// readFromOwner reads a job from the node that runs it.
func (s *Service) readFromOwner(ctx context.Context, owner jobstore.Owner, id string, after int, wait time.Duration) (Page, error) {
	request := &wire.JobRead{Job: id, After: uint32(after), WaitMs: uint32(wait.Milliseconds())}
	message, err := environment.Call(ctx, s.config.Peers, owner.Address, request, wait+peerReplyMargin)
	if err != nil {
		return Page{}, err
	}
	page, ok := message.(*wire.JobPage)
	if !ok || !page.Known {
		return Page{}, ErrNotOwner
	}
	read := Page{Total: int(page.Total)}
	return read, json.Unmarshal(page.Results, &read.Results)
}

// ItemBody returns the request body of an item. jobstore.ErrNoSuchJob and ErrNoSuchItem
// mean that it does not exist; other errors mean that this node could not find out.
func (s *Service) ItemBody(ctx context.Context, id, itemID string) ([]byte, error) {
	s.mutex.Lock()
	held := s.jobs[id]
	s.mutex.Unlock()
	if held != nil {
		return bodyOf(held.submission, itemID)
	}
	if owner, known := s.ownerOf(ctx, id); known {
		message, err := environment.Call(ctx, s.config.Peers, owner.Address, &wire.JobItem{Job: id, Item: itemID}, peerReplyMargin)
		if body, ok := message.(*wire.JobItemBody); ok && err == nil && body.Known {
			if !body.Found {
				return nil, ErrNoSuchItem
			}
			return body.Body, nil
		}
	}
	stored, err := s.config.JobStore.Read(ctx, id)
	if err != nil {
		return nil, err
	}
	payload, err := s.config.JobStore.Payload(s.withRegionBounds(ctx, stored.Record), id, stored.Record)
	if err != nil {
		return nil, err
	}
	submission, err := s.config.Codec.DecodeSubmission(payload)
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
