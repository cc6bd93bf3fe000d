package batch

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/pathtally/pathtally/internal/store/objectstore"
)

// Kinds of objects that batch jobs are kept as.
const (
	KindJobs     = "batchjobs"
	KindPayloads = "batchpayloads"
	KindResults  = "batchresults"
)

const (
	// partBytes bounds the part of a submission in one object, and chunkBytes
	// the results in one; the store takes about a megabyte.
	partBytes  = 600 << 10
	chunkBytes = 500 << 10
	// endPause is the time between tries to record an end.
	endPause = 100 * time.Millisecond
)

// Owner is the process that runs a batch job.
type Owner struct {
	Node        string `json:"node"`
	Address     string `json:"address"`
	Incarnation uint64 `json:"incarnation"`
}

// Record is the stored state of a batch job but for its payload and results.
type Record struct {
	Owner Owner `json:"owner"`
	// Epoch counts the owners.
	Epoch int `json:"epoch"`
	// Route is the route that took the job, and Host its host.
	Route string `json:"route"`
	Host  string `json:"host"`
	Parts int    `json:"parts"`
	// Tenant is whose job it is, empty where no tenants were declared.
	Tenant string `json:"tenant,omitempty"`
	// Entry is the region of the node that the caller connected to, and Scorers the
	// routes of the job's reward calls: with Route and Tenant they say where its bodies
	// may be. Records of earlier versions name neither.
	Entry   string   `json:"entry,omitempty"`
	Scorers []string `json:"scorers,omitempty"`
	// Items is the number of items, 0 for unknown.
	Items int `json:"items,omitempty"`
	// AcceptedMs is the owner's time of day at the acceptance, in milliseconds.
	AcceptedMs int64 `json:"acceptedMs"`
}

// status is the stored status of a batch job.
type status struct {
	Ended bool `json:"ended"`
}

// chunk is a run of results in one object.
type chunk struct {
	// Writer and Serial name the one attempt that wrote the chunk.
	Writer  string   `json:"writer"`
	Serial  int      `json:"serial"`
	Results []Result `json:"results"`
	// Texts are parts of the texts of items that were still running.
	Texts []piece `json:"texts,omitempty"`
	// Seal tells that the job had ended: nothing is added behind this chunk.
	Seal bool `json:"seal,omitempty"`
}

// listing is what the chunks of a job hold.
type listing struct {
	results []Result
	// pieces are the parts of texts in the order written.
	pieces []piece
	// chunks is the number of chunks in all.
	chunks int
	// sealed tells that the last one is a seal.
	sealed bool
}

// add adds the next chunk.
func (l *listing) add(next chunk) {
	l.results = append(l.results, next.Results...)
	l.pieces = append(l.pieces, next.Texts...)
	l.chunks++
	l.sealed = next.Seal
}

// Journal keeps batch jobs in the metadata store.
type Journal struct {
	store objectstore.Store
	// apart tells whether a job's results are to be read without those of others; nil
	// for never.
	apart func() bool
}

// NewJournal returns a journal.
func NewJournal(store objectstore.Store) *Journal { return &Journal{store: store} }

// ReadApart has results read chunk by chunk while a condition holds: the pages of a
// listing hold results of other jobs too, which may be bound to other regions.
func (j *Journal) ReadApart(condition func() bool) { j.apart = condition }

func partName(job string, part int) string { return fmt.Sprintf("%s-%04d", job, part) }

// chunkDigits is how many digits the number of a chunk has in its name.
const chunkDigits = 6

func chunkName(job string, index int) string { return fmt.Sprintf("%s-%0*d", job, chunkDigits, index) }

// isChunkName tells whether a name is that of a chunk of a job: the id of another job
// may begin with this one's and a hyphen.
func isChunkName(job, name string) bool {
	number, found := strings.CutPrefix(name, job+"-")
	if !found || len(number) != chunkDigits {
		return false
	}
	_, err := strconv.ParseUint(number, 10, 32)
	return err == nil
}

// Accept makes a batch job lasting and tells whether this call made it. The
// record that stands is returned: it is another's if the job had been taken
// before. The error is a *NotTakenError or an *UncertainError.
func (j *Journal) Accept(ctx context.Context, id string, record Record, payload []byte) (standing Record, made bool, err error) {
	record.Parts = (len(payload) + partBytes - 1) / partBytes
	for part := range record.Parts {
		piece, err := json.Marshal(string(payload[part*partBytes : min(len(payload), (part+1)*partBytes)]))
		if err != nil {
			return Record{}, false, &NotTakenError{Cause: err}
		}
		_, outcome, err := objectstore.CreateSettled(ctx, j.store, KindPayloads, partName(id, part), piece)
		if outcome != objectstore.Created && outcome != objectstore.Existed {
			// Without its record the payload is no batch job.
			return Record{}, false, &NotTakenError{Cause: err}
		}
	}
	spec, err := json.Marshal(record)
	if err != nil {
		return Record{}, false, &NotTakenError{Cause: err}
	}
	object, outcome, err := objectstore.CreateSettled(ctx, j.store, KindJobs, id, spec)
	switch outcome {
	case objectstore.NeverSent:
		return Record{}, false, &NotTakenError{Cause: err}
	case objectstore.Unknown:
		return Record{}, false, &UncertainError{Cause: err}
	}
	standing, _, err = readRecord(object)
	if err != nil {
		return Record{}, false, &UncertainError{Cause: err}
	}
	return standing, outcome == objectstore.Created, nil
}

func readRecord(object objectstore.Object) (Record, bool, error) {
	var record Record
	if err := json.Unmarshal(object.Spec, &record); err != nil {
		return Record{}, false, err
	}
	var stood status
	if len(object.Status) > 0 {
		if err := json.Unmarshal(object.Status, &stood); err != nil {
			return Record{}, false, err
		}
	}
	return record, stood.Ended, nil
}

// Standing is a batch job as the store has it.
type Standing struct {
	ID       string
	Record   Record
	Ended    bool
	Revision uint64
}

func readStanding(object objectstore.Object) (Standing, error) {
	record, ended, err := readRecord(object)
	return Standing{ID: object.Name, Record: record, Ended: ended, Revision: object.Revision}, err
}

// Look reads a batch job's record. ErrNoSuchJob is certain.
func (j *Journal) Look(ctx context.Context, id string) (Standing, error) {
	object, err := j.store.Get(ctx, KindJobs, id, objectstore.Linearizable)
	if errors.Is(err, objectstore.ErrNotFound) {
		return Standing{}, ErrNoSuchJob
	}
	if err != nil {
		return Standing{}, err
	}
	return readStanding(object)
}

// All reads the records of all batch jobs.
func (j *Journal) All(ctx context.Context, freshness objectstore.Freshness) ([]Standing, error) {
	var all []Standing
	after := ""
	for {
		page, err := j.store.List(ctx, KindJobs, after, freshness)
		if err != nil {
			return nil, err
		}
		for _, object := range page.Objects {
			if standing, err := readStanding(object); err == nil {
				all = append(all, standing)
			}
		}
		if !page.More || len(page.Objects) == 0 {
			return all, nil
		}
		after = page.Objects[len(page.Objects)-1].Name
	}
}

// TakeOver makes a process the owner of a batch job that still stands as read.
func (j *Journal) TakeOver(ctx context.Context, standing Standing, owner Owner) (Standing, error) {
	next := standing.Record
	next.Owner, next.Epoch = owner, standing.Record.Epoch+1
	spec, err := json.Marshal(next)
	if err != nil {
		return Standing{}, err
	}
	object, err := j.store.Replace(ctx, KindJobs, standing.ID, spec, standing.Revision)
	if err != nil {
		return Standing{}, err
	}
	return readStanding(object)
}

// Payload reads a submission back.
func (j *Journal) Payload(ctx context.Context, id string, parts int) ([]byte, error) {
	var payload []byte
	for part := range parts {
		object, err := j.store.Get(ctx, KindPayloads, partName(id, part), objectstore.Linearizable)
		if errors.Is(err, objectstore.ErrNotFound) {
			return nil, ErrTruncated
		}
		if err != nil {
			return nil, err
		}
		var piece string
		if err := json.Unmarshal(object.Spec, &piece); err != nil {
			return nil, err
		}
		payload = append(payload, piece...)
	}
	return payload, nil
}

// Results reads what stands from a chunk on.
func (j *Journal) Results(ctx context.Context, id string, from int) (listing, error) {
	if from > 0 || (j.apart != nil && j.apart()) {
		return j.furtherResults(ctx, id, from)
	}
	read := listing{}
	// A listing begins behind a name, and this one is a prefix of the chunks'.
	after := id + "-"
	for {
		page, err := j.store.List(ctx, KindResults, after, objectstore.Linearizable)
		if err != nil {
			return listing{}, err
		}
		for _, object := range page.Objects {
			after = object.Name
			if !strings.HasPrefix(object.Name, id+"-") {
				return read, nil
			}
			if !isChunkName(id, object.Name) {
				continue
			}
			next, err := readChunk(object)
			if err != nil {
				return listing{}, err
			}
			if object.Name != chunkName(id, read.chunks) {
				return listing{}, ErrTruncated
			}
			read.add(next)
		}
		if !page.More || len(page.Objects) == 0 {
			return read, nil
		}
	}
}

// furtherResults reads the chunks from one on by their names. A listing would fill
// a page of a megabyte with the results of other jobs, where mostly there is
// nothing more of this one.
func (j *Journal) furtherResults(ctx context.Context, id string, from int) (listing, error) {
	read := listing{chunks: from}
	for {
		object, err := j.store.Get(ctx, KindResults, chunkName(id, read.chunks), objectstore.Linearizable)
		if errors.Is(err, objectstore.ErrNotFound) {
			return read, nil
		}
		if err != nil {
			return listing{}, err
		}
		next, err := readChunk(object)
		if err != nil {
			return listing{}, err
		}
		read.add(next)
	}
}

func readChunk(object objectstore.Object) (chunk, error) {
	var read chunk
	err := json.Unmarshal(object.Spec, &read)
	return read, err
}

// Append writes a chunk at an index until that index is settled, and returns
// the chunk that stands there, which may be another writer's.
func (j *Journal) Append(ctx context.Context, id string, index int, written chunk) (chunk, bool, error) {
	spec, err := json.Marshal(written)
	if err != nil {
		return chunk{}, false, err
	}
	object, outcome, err := objectstore.CreateSettled(ctx, j.store, KindResults, chunkName(id, index), spec)
	switch outcome {
	case objectstore.Created:
		return written, true, nil
	case objectstore.Existed:
		standing, err := readChunk(object)
		return standing, err == nil && standing.Writer == written.Writer && standing.Serial == written.Serial, err
	}
	return chunk{}, false, err
}

// End records that a batch job has been ended, until the store has answered, and
// returns the job as it stands then.
func (j *Journal) End(ctx context.Context, id string) (Standing, error) {
	spec, err := json.Marshal(status{Ended: true})
	if err != nil {
		return Standing{}, err
	}
	for {
		object, err := j.store.ReplaceStatus(ctx, KindJobs, id, spec, objectstore.Unconditional)
		if err == nil {
			return readStanding(object)
		}
		if errors.Is(err, objectstore.ErrNotFound) {
			return Standing{}, ErrNoSuchJob
		}
		if !objectstore.Pause(ctx, endPause) {
			return Standing{}, err
		}
	}
}
