package timeline

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"strconv"
	"time"
)

// Log messages of packages batch, directory and weightorders that are read.
const (
	messageStarted   = "batch job started"
	messageTakenOver = "batch job taken over"
	messageEnded     = "batch job ended"
	messageLate      = "batch job was late"
	messageListed    = "results listed"
	messageFinished  = "item finished"
	messageRunEnded  = "run ended early"
	messageNamed     = "weight version named"
	messageLoaded    = "replica brought to version"
)

// record holds the fields that are read from one log line. Fields that end in Ms are in
// milliseconds.
type record struct {
	// at is when the line was written, in seconds: the number in front of the line, or the
	// time since the first line.
	at float64

	Time    time.Time `json:"time"`
	Message string    `json:"msg"`
	Request string    `json:"request"`
	Job     string    `json:"job"`
	Group   string    `json:"group"`
	Replica string    `json:"replica"`
	Model   string    `json:"model"`
	Error   string    `json:"error"`
	Reason  string    `json:"reason"`

	Step       int   `json:"step"`
	MinVersion int64 `json:"minVersion"`
	Version    int64 `json:"version"`
	Desired    int   `json:"desired"`
	Items      int   `json:"items"`
	Results    int   `json:"results"`

	FirstMs   float64 `json:"firstMs"`
	TookMs    float64 `json:"tookMs"`
	RewardMs  float64 `json:"rewardMs"`
	FromEvent int     `json:"fromEvent"`
	Events    int     `json:"events"`
}

// maxLineBytes is the maximum length of a log line.
const maxLineBytes = 1 << 20

// readRecords reads the JSON log lines of a stream and skips all other lines. A number in
// front of a line is its time in seconds; otherwise the "time" field is used.
func readRecords(source io.Reader) ([]record, error) {
	lines := bufio.NewScanner(source)
	lines.Buffer(make([]byte, 0, bufio.MaxScanTokenSize), maxLineBytes)
	var records []record
	var origin time.Time
	for lines.Scan() {
		start := bytes.IndexByte(lines.Bytes(), '{')
		if start < 0 {
			continue
		}
		var read record
		if json.Unmarshal(lines.Bytes()[start:], &read) != nil || read.Message == "" {
			continue
		}
		if origin.IsZero() {
			origin = read.Time
		}
		read.at = read.Time.Sub(origin).Seconds()
		if fields := bytes.Fields(lines.Bytes()[:start]); len(fields) > 0 {
			if seconds, err := strconv.ParseFloat(string(fields[0]), 64); err == nil {
				read.at = seconds
			}
		}
		records = append(records, read)
	}
	return records, lines.Err()
}

// start returns when the run of the record started, in seconds.
func (r record) start() float64 { return r.end() - seconds(r.TookMs) }

// end returns when the run of the record ended, in seconds.
func (r record) end() float64 { return r.at - seconds(r.RewardMs) }

// length returns the number of events in the item's text after the run.
func (r record) length() int { return r.FromEvent + r.Events }

func seconds(milliseconds float64) float64 { return milliseconds / 1000 }
