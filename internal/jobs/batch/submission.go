package batch

import (
	"github.com/pathtally/pathtally/internal/jobs/jobstore"
	"net/http"
)

// Submission is a batch job as a caller hands it in.
type Submission struct {
	Step int
	// Model is the model whose weight versions MinVersion counts.
	Model string
	// MinVersion is the oldest weight version that may make tokens.
	MinVersion int64
	// Desired is how many whole groups the trainer waits for; 0 for all.
	Desired int
	Items   []*Item
	// HasCredentials tells that an item named some for its request. They are not in the
	// item's header: a job is stored, and credentials must not be.
	HasCredentials bool
}

// Item is one request of a batch job.
type Item struct {
	ID     string
	Target string
	// Header is what the request carries to a replica, its id included.
	Header http.Header
	Body   []byte
	Group  string
	// ExpectedTokens is the caller's estimate of the answer's length, 0 for
	// none.
	ExpectedTokens float64
	Reward         *Reward
}

// Reward is the request that scores an item's text.
type Reward struct {
	ID     string
	Host   string
	Target string
	Header http.Header
	Body   []byte
}

// Codec reads and writes the platform's form of batch jobs.
type Codec interface {
	// Submission reads a batch job with the id of a request.
	Submission(body []byte) (*Submission, error)
	// Page writes a part of a job's results.
	Page(total, next int, results []jobstore.Result) ([]byte, error)
	// Call reads what a request about a batch job asks; false if it is none. The
	// error is that of a request that cannot be understood.
	Call(request *http.Request) (call Call, isCall bool, err error)
	// VersionField is the name of the line of an event that has its weight version.
	VersionField() string
	// Signature is a replica's signature in an answer's header.
	Signature(header http.Header) string
}

// CallKind is what a call about a batch job asks for.
type CallKind int

// The kinds of calls.
const (
	CallRead CallKind = iota
	CallBody
	CallEnd
)

// Call is a request about a batch job.
type Call struct {
	Kind CallKind
	Job  string
	// After is how many results the reader knows.
	After int
	// Item is the item whose body is asked for.
	Item string
}
