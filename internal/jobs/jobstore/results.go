package jobstore

import (
	"context"
	"encoding/json"
	"errors"
	"strings"

	"github.com/pathtally/pathtally/internal/store/objectstore"
)

// MaxChunkBytes bounds the results of one chunk, which is about what the store takes
// as one object.
const MaxChunkBytes = 500 << 10

// Results reads the chunks of a job from an index on.
func (s *Store) Results(ctx context.Context, id string, from int) (Listing, error) {
	if from > 0 || (s.readApart != nil && s.readApart()) {
		return s.readChunksByName(ctx, id, from)
	}
	return s.listChunks(ctx, id)
}

// listChunks reads all chunks of a job as pages of a listing.
func (s *Store) listChunks(ctx context.Context, id string) (Listing, error) {
	read := Listing{}
	// A listing begins behind a name, and this one is a prefix of the chunks'.
	after := id + "-"
	for {
		page, err := s.store.List(ctx, KindResults, after, objectstore.Linearizable)
		if err != nil {
			return Listing{}, err
		}
		passed, err := addPage(&read, id, page)
		if err != nil {
			return Listing{}, err
		}
		if passed || !page.More || len(page.Objects) == 0 {
			return read, nil
		}
		after = page.Objects[len(page.Objects)-1].Name
	}
}

// addPage adds the chunks of a job on a page of a listing. It tells whether the page
// goes past the job's names. ErrTruncated means that a chunk is missing before another.
func addPage(read *Listing, id string, page objectstore.Page) (passed bool, err error) {
	for _, object := range page.Objects {
		if !strings.HasPrefix(object.Name, id+"-") {
			return true, nil
		}
		if !isChunkName(id, object.Name) {
			continue
		}
		next, err := readChunk(object)
		if err != nil {
			return false, err
		}
		if object.Name != ChunkName(id, read.Chunks) {
			return false, ErrTruncated
		}
		read.Add(next)
	}
	return false, nil
}

// readChunksByName reads the chunks from an index on one by one. A listing would fill a
// page of a megabyte with the results of other jobs, where mostly there is nothing more
// of this one.
func (s *Store) readChunksByName(ctx context.Context, id string, from int) (Listing, error) {
	read := Listing{Chunks: from}
	for {
		object, err := s.store.Get(ctx, KindResults, ChunkName(id, read.Chunks), objectstore.Linearizable)
		if errors.Is(err, objectstore.ErrNotFound) {
			return read, nil
		}
		if err != nil {
			return Listing{}, err
		}
		next, err := readChunk(object)
		if err != nil {
			return Listing{}, err
		}
		read.Add(next)
	}
}

// Append writes a chunk at an index and repeats the write until the store has settled
// that index. It returns the chunk that the store has there, and whether that is the
// one written here: another writer may have been first.
func (s *Store) Append(ctx context.Context, id string, index int, written Chunk) (stored Chunk, own bool, err error) {
	spec, err := json.Marshal(written)
	if err != nil {
		return Chunk{}, false, err
	}
	object, outcome, err := objectstore.CreateWithRetry(ctx, s.store, KindResults, ChunkName(id, index), spec)
	switch outcome {
	case objectstore.Created:
		return written, true, nil
	case objectstore.AlreadyExists:
		stored, err := readChunk(object)
		return stored, err == nil && stored.Writer == written.Writer && stored.Serial == written.Serial, err
	}
	return Chunk{}, false, err
}

// Fence writes an empty chunk behind the results that are stored, and returns these. A
// former owner may append until it learns of its successor; from the fence on its
// appends fail, and everything before it is known.
func (s *Store) Fence(ctx context.Context, id string, stored Listing, writer string) (Listing, error) {
	return s.appendBehind(ctx, id, stored, Chunk{Writer: writer})
}

// Seal writes an empty chunk behind the results of an ended job, and returns these.
// Nothing is added behind a seal: an owner that does not know of the end finds the
// place taken.
func (s *Store) Seal(ctx context.Context, id string, stored Listing, writer string) (Listing, error) {
	return s.appendBehind(ctx, id, stored, Chunk{Writer: writer, Seal: true})
}

// appendBehind writes a chunk without results behind all that is stored, and returns
// what is stored then. Where a seal is stored, nothing is written.
func (s *Store) appendBehind(ctx context.Context, id string, listing Listing, empty Chunk) (Listing, error) {
	for !listing.Sealed {
		stored, own, err := s.Append(ctx, id, listing.Chunks, empty)
		if err != nil {
			return listing, err
		}
		listing.Add(stored)
		if own {
			break
		}
	}
	return listing, nil
}
