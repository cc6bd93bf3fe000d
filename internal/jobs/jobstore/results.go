package jobstore

import (
	"context"
	"encoding/json"
	"errors"
	"strings"

	"github.com/pathtally/pathtally/internal/store/objectstore"
)

// MaxChunkBytes is the maximum size of the results in one chunk. The store accepts objects of
// about a megabyte.
const MaxChunkBytes = 500 << 10

// Results reads the chunks of a job, starting at an index.
func (s *Store) Results(ctx context.Context, id string, from int) (Listing, error) {
	if from > 0 || (s.readByName != nil && s.readByName()) {
		return s.readChunksByName(ctx, id, from)
	}
	return s.listChunks(ctx, id)
}

// listChunks reads all chunks of a job from a paged listing.
func (s *Store) listChunks(ctx context.Context, id string) (Listing, error) {
	read := Listing{}
	// A listing starts after this name, which sorts before the names of the chunks.
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

// addPage adds the chunks of a job on a page of a listing. passed is set if the page contains
// names that sort after those of the job. It returns ErrTruncated if there is a gap in the
// chunks.
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

// readChunksByName reads the chunks one by one, starting at an index. A listing would fill its
// page with the results of other jobs, although there is usually no further chunk of this one.
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

// Append creates the chunk at an index, and retries until the store has a chunk there. It
// returns the stored chunk, and whether it is the one from this call: another writer may have
// been first.
func (s *Store) Append(ctx context.Context, id string, index int, written Chunk) (stored Chunk, created bool, err error) {
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

// Fence appends an empty chunk to the stored results, and returns the complete listing. The
// former owner of the job may append until it learns of its successor. Its next append after
// the fence fails because the position is taken.
func (s *Store) Fence(ctx context.Context, id string, stored Listing, writer string) (Listing, error) {
	return s.appendAfterAll(ctx, id, stored, Chunk{Writer: writer})
}

// Seal appends an empty chunk that marks the end of a job's results, and returns the complete
// listing. The append of an owner that does not know of the end fails because the position is
// taken.
func (s *Store) Seal(ctx context.Context, id string, stored Listing, writer string) (Listing, error) {
	return s.appendAfterAll(ctx, id, stored, Chunk{Writer: writer, Seal: true})
}

// appendAfterAll appends an empty chunk after all stored chunks, and returns the complete
// listing. It appends nothing after a seal.
func (s *Store) appendAfterAll(ctx context.Context, id string, listing Listing, empty Chunk) (Listing, error) {
	for !listing.Sealed {
		stored, created, err := s.Append(ctx, id, listing.Chunks, empty)
		if err != nil {
			return listing, err
		}
		listing.Add(stored)
		if created {
			break
		}
	}
	return listing, nil
}
