package batch

import (
	"github.com/pathtally/pathtally/internal/jobs/jobstore"
	"net/http"
)

// Submission is a batch job as its caller submits it.
type Submission struct {
	// Step is the trainer's step number, for the log.
	Step int
	// Model is the model that MinVersion refers to.
	Model string
	// MinVersion is the oldest weight version that may generate text.
	MinVersion int64
	// Desired is the number of complete groups that the trainer waits for; 0 if not
	// given.
	Desired int
	Items   []*Item
	// HasCredentials reports that an item carried credentials. They are removed from the
	// item's header, since jobs are stored and credentials must not be.
	HasCredentials bool
	// Invalid is an *InvalidItemError if an item must not be sent to a replica; nil otherwise. Jobs
	// that an earlier version accepted may have such items.
	Invalid error
}

// Item is one request of a batch job.
type Item struct {
	ID     string
	Target string
	// Header is the header sent to a replica, including the request id.
	Header http.Header
	Body   []byte
	Group  string
	// ExpectedTokens is the caller's estimate of the length of the text, 0 if not given.
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

// Codec translates between batch jobs and the platform's HTTP API.
type Codec interface {
	// DecodeSubmission decodes the body of a submission.
	DecodeSubmission(body []byte) (*Submission, error)
	// EncodePage encodes a part of a job's results. next is the position to read on from.
	EncodePage(total, next int, results []jobstore.Result) ([]byte, error)
	// DecodeCall decodes a request about a batch job; isCall is false if it is not one.
	// The error means that the request is invalid.
	DecodeCall(request *http.Request) (call Call, isCall bool, err error)
	// VersionField returns the name of the event field that has the weight version.
	VersionField() string
	// ScoreSignature returns the scorer's signature from the header of its response.
	ScoreSignature(header http.Header) string
}

// CallKind is the kind of a call about a batch job.
type CallKind int

// The kinds of calls.
const (
	CallRead CallKind = iota
	CallItemBody
	CallEnd
)

// Call is a decoded request about a batch job.
type Call struct {
	Kind CallKind
	Job  string
	// After is the number of results that the reader has.
	After int
	// Item is the item whose body is read.
	Item string
}
